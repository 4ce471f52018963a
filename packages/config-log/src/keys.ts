import type {ObjectKind} from '@hollowstack/types';

/** The key of the head: the newest revision and what it consists of. */
export const HEAD_KEY = 'hollowstack/config/head';
/** Prefix of the objects; below it stand `<kind>/<name>`. */
export const OBJECT_PREFIX = 'hollowstack/config/objects/';
/** Prefix of the change records, by revision. */
export const CHANGE_PREFIX = 'hollowstack/config/changes/';
/** Prefix of the index from change id to revision. */
export const CHANGE_ID_PREFIX = 'hollowstack/config/change-ids/';

/** Digits of a revision in a key, so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** Returns the key of an object. */
export function getObjectKey(kind: ObjectKind, name: string): string {
  return `${OBJECT_PREFIX}${kind}/${name}`;
}

/** Returns the key of a change record; keys sort as revisions do. */
export function getChangeKey(revision: number): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Returns the key under which a change id's revision is kept. */
export function getChangeIdKey(changeId: string): string {
  return CHANGE_ID_PREFIX + changeId;
}
