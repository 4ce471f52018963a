import type {ObjectKind} from '@hollowstack/types';

/** Key of the head: the latest revision and the versions of its objects. */
export const HEAD_KEY = 'hollowstack/config/head';
/** Key prefix of the objects, followed by `<kind>/<name>`. */
export const OBJECT_PREFIX = 'hollowstack/config/objects/';
/** Key prefix of the change records, followed by the padded revision. */
export const CHANGE_PREFIX = 'hollowstack/config/changes/';
/** Key prefix of the index from change id to change record. */
export const CHANGE_ID_PREFIX = 'hollowstack/config/change-ids/';

/** Digits of a revision in a key, so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** Returns the key of an object. */
export function getObjectKey(kind: ObjectKind, name: string): string {
  return `${OBJECT_PREFIX}${kind}/${name}`;
}

/** Returns the key of a change record; keys sort by revision. */
export function getChangeKey(revision: number): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Returns the key of a change record in the index by change id. */
export function getChangeIdKey(changeId: string): string {
  return CHANGE_ID_PREFIX + changeId;
}
