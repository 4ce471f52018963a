import {
  createPrefixRange,
  createSingleKeyRange,
  type KeyValue,
  type KeyValueStore,
} from '@hollowstack/store';
import {
  changeRecordSchema,
  configObjectSchema,
  headSchema,
  type ChangeRecord,
  type ConfigObject,
  type ConfigurationSnapshot,
  type Head,
} from '@hollowstack/types';
import {createEmptySnapshot, getObjectId} from './configuration.ts';
import {CHANGE_PREFIX, HEAD_KEY, OBJECT_PREFIX, getObjectKey} from './keys.ts';

/** A snapshot with the store revision of its head, for comparisons in transactions. */
export interface StoredSnapshot {
  readonly snapshot: ConfigurationSnapshot;
  /** 0 if the store has no head. */
  readonly headModRevision: number;
  /** Id of the store that answered. */
  readonly storeId: string;
}

/** Reads the head and all objects in one transaction, so that they are consistent. */
export async function readStoredSnapshot(
  store: KeyValueStore,
): Promise<StoredSnapshot> {
  const result = await store.runTransaction({
    comparisons: [],
    onSuccess: [
      {type: 'read', range: createSingleKeyRange(HEAD_KEY)},
      {type: 'read', range: createPrefixRange(OBJECT_PREFIX)},
    ],
  });
  const [headRead, objectsRead] = result.reads;
  const headKeyValue = headRead.keyValues.at(0);
  if (!headKeyValue) {
    return {
      snapshot: createEmptySnapshot(),
      headModRevision: 0,
      storeId: result.storeId,
    };
  }
  return {
    snapshot: {
      head: parseHead(headKeyValue.value),
      objects: objectsRead.keyValues.map(parseObject),
    },
    headModRevision: headKeyValue.modRevision,
    storeId: result.storeId,
  };
}

/**
 * Reads the objects that have changed since a snapshot, in one transaction.
 * Resolves to undefined if the head has changed since it was read; the caller then reads it
 * again.
 *
 * @param head The newer head, as read from the store.
 */
export async function readChangedSnapshot(
  store: KeyValueStore,
  known: ConfigurationSnapshot,
  head: Head,
): Promise<ConfigurationSnapshot | undefined> {
  const knownVersions = new Map(
    known.head.objects.map(({kind, name, version}) => [
      getObjectId(kind, name),
      version,
    ]),
  );
  const changed = head.objects.filter(
    ({kind, name, version}) =>
      knownVersions.get(getObjectId(kind, name)) !== version,
  );
  const result = await store.runTransaction({
    comparisons: [],
    onSuccess: [
      {type: 'read', range: createSingleKeyRange(HEAD_KEY)},
      ...changed.map(({kind, name}) => ({
        type: 'read' as const,
        range: createSingleKeyRange(getObjectKey(kind, name)),
      })),
    ],
  });
  const [headRead, ...objectReads] = result.reads;
  const headKeyValue = headRead.keyValues.at(0);
  if (!headKeyValue) return undefined;
  if (parseHead(headKeyValue.value).changeId !== head.changeId)
    return undefined;
  const changedObjects = objectReads.flatMap(({keyValues}) =>
    keyValues.map(parseObject),
  );
  if (changedObjects.length < changed.length) return undefined;
  return {head, objects: mergeObjects(known.objects, changedObjects, head)};
}

/** Reads the head; resolves to undefined if there is none. */
export async function readHead(
  store: KeyValueStore,
): Promise<Head | undefined> {
  const found = await store.readRange(createSingleKeyRange(HEAD_KEY));
  const keyValue = found.keyValues.at(0);
  return keyValue && parseHead(keyValue.value);
}

/** Parses a stored head. */
export function parseHead(value: string): Head {
  return headSchema.parse(JSON.parse(value));
}

/** Reads the retained change records, newest first. */
export async function readChangeRecords(
  store: KeyValueStore,
): Promise<readonly ChangeRecord[]> {
  const found = await store.readRange(createPrefixRange(CHANGE_PREFIX));
  return found.keyValues
    .map(({value}) => changeRecordSchema.parse(JSON.parse(value)))
    .reverse();
}

function parseObject(keyValue: KeyValue): ConfigObject {
  return configObjectSchema.parse(JSON.parse(keyValue.value));
}

function mergeObjects(
  known: readonly ConfigObject[],
  changed: readonly ConfigObject[],
  head: Head,
): ConfigObject[] {
  const byId = new Map<string, ConfigObject>();
  for (const object of [...known, ...changed]) {
    byId.set(getObjectId(object.kind, object.value.name), object);
  }
  return head.objects
    .map(({kind, name}) => byId.get(getObjectId(kind, name)))
    .filter(object => object !== undefined);
}
