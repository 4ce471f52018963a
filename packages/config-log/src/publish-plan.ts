import {isDeepStrictEqual} from 'node:util';
import {HollowstackError} from '@hollowstack/errors';
import type {
  ChangeRecord,
  ConfigObject,
  ConfigurationSnapshot,
  Head,
  ObjectVersion,
} from '@hollowstack/types';
import {checkConfiguration} from './check-configuration.ts';
import {Configuration, getObjectId} from './configuration.ts';

/** A change requested by an operator. */
export interface PublishRequest {
  /** Chosen by the operator's client, so that a resend is recognized. */
  readonly changeId: string;
  readonly author: string;
  /** The revision on which the change is based. */
  readonly baseRevision: number;
  /** Objects to add or to replace. */
  readonly objects: readonly ConfigObject[];
  /** Ids of objects to remove, such as `pool/encoders`. */
  readonly removals: readonly string[];
}

/** The next revision and the writes that lead to it; nothing is written yet. */
export interface PublishPlan {
  readonly head: Head;
  readonly record: ChangeRecord;
  /** Objects to write. */
  readonly writes: readonly ConfigObject[];
  /** Objects to delete. */
  readonly deletions: readonly ObjectVersion[];
  /** Whether nothing would change. */
  readonly isEmpty: boolean;
  /** The complete configuration once the plan is applied. */
  readonly next: ConfigurationSnapshot;
}

/**
 * Assembles the plan that applies a change to the stored configuration.
 *
 * @param inForceRevision The highest revision known to be in force on any instance.
 * @param nowMs Time of the change record, in milliseconds since the epoch.
 * @throws HollowstackError `configuration-behind`, `configuration-conflict`,
 *   `configuration-invalid`, or `not-found` for a removal of an unknown object.
 */
export function assemblePublishPlan(
  stored: ConfigurationSnapshot,
  request: PublishRequest,
  inForceRevision: number,
  nowMs: number,
): PublishPlan {
  rejectOlderStore(stored, inForceRevision);
  const current = new Configuration(stored);
  const writes = request.objects.filter(object => hasChanged(object, current));
  const removed = new Set(request.removals);
  const deletions = stored.head.objects.filter(({kind, name}) =>
    removed.has(getObjectId(kind, name)),
  );
  rejectUnknownRemovals(request.removals, deletions);
  rejectConflicts(stored.head, request, writes, deletions);
  const objects = applyToObjects(stored.objects, writes, deletions);
  rejectInvalid(objects);
  return createPlan(stored.head, objects, request, writes, deletions, nowMs);
}

/**
 * Assembles the plan that writes the configuration in force to a store that
 * lost it. The new revision is above both.
 */
export function assembleRestorePlan(
  stored: ConfigurationSnapshot,
  inForce: ConfigurationSnapshot,
  request: Pick<PublishRequest, 'changeId' | 'author'>,
  nowMs: number,
): PublishPlan {
  const inForceIds = new Set(
    inForce.objects.map(({kind, value}) => getObjectId(kind, value.name)),
  );
  const deletions = stored.head.objects.filter(
    ({kind, name}) => !inForceIds.has(getObjectId(kind, name)),
  );
  const revision = Math.max(stored.head.revision, inForce.head.revision);
  const base: Head = {...inForce.head, revision};
  const {objects} = inForce;
  return createPlan(base, objects, request, objects, deletions, nowMs);
}

function rejectOlderStore(
  stored: ConfigurationSnapshot,
  inForceRevision: number,
): void {
  if (stored.head.revision >= inForceRevision) return;
  throw new HollowstackError(
    'configuration-behind',
    `the store holds revision ${stored.head.revision}, but ${inForceRevision} is in force`,
  );
}

function hasChanged(object: ConfigObject, current: Configuration): boolean {
  const before = current.getObject(object.kind, object.value.name);
  return !isDeepStrictEqual(before?.value, object.value);
}

function rejectUnknownRemovals(
  removals: readonly string[],
  deletions: readonly ObjectVersion[],
): void {
  const known = new Set(
    deletions.map(({kind, name}) => getObjectId(kind, name)),
  );
  const unknown = removals.filter(id => !known.has(id));
  if (unknown.length === 0) return;
  throw new HollowstackError(
    'not-found',
    `nothing to remove: ${unknown.join(', ')}`,
  );
}

function rejectConflicts(
  head: Head,
  request: PublishRequest,
  writes: readonly ConfigObject[],
  deletions: readonly ObjectVersion[],
): void {
  const touched = new Set([
    ...writes.map(({kind, value}) => getObjectId(kind, value.name)),
    ...deletions.map(({kind, name}) => getObjectId(kind, name)),
  ]);
  const conflicts = head.objects.filter(
    ({kind, name, version}) =>
      version > request.baseRevision && touched.has(getObjectId(kind, name)),
  );
  if (conflicts.length === 0) return;
  const list = conflicts
    .map(({kind, name, version}) => `${kind}/${name} (revision ${version})`)
    .join(', ');
  throw new HollowstackError(
    'configuration-conflict',
    `changed since revision ${request.baseRevision}: ${list}`,
  );
}

function rejectInvalid(objects: readonly ConfigObject[]): void {
  const findings = checkConfiguration(objects);
  if (findings.length === 0) return;
  const lines = findings.map(
    ({place, message, advice}) => `${place}: ${message}; ${advice}`,
  );
  throw new HollowstackError('configuration-invalid', lines.join('\n'));
}

function createPlan(
  base: Head,
  objects: readonly ConfigObject[],
  request: Pick<PublishRequest, 'changeId' | 'author'>,
  writes: readonly ConfigObject[],
  deletions: readonly ObjectVersion[],
  nowMs: number,
): PublishPlan {
  const revision = base.revision + 1;
  const {changeId, author} = request;
  const changed = writes.map(({kind, value}) => getObjectId(kind, value.name));
  const removed = deletions.map(({kind, name}) => getObjectId(kind, name));
  const touched = new Set([...changed, ...removed]);
  const unchanged = base.objects.filter(
    ({kind, name}) => !touched.has(getObjectId(kind, name)),
  );
  const written = writes.map(({kind, value}) => ({
    kind,
    name: value.name,
    version: revision,
  }));
  const head = {revision, changeId, objects: [...unchanged, ...written]};
  return {
    head,
    record: {revision, changeId, author, atMs: nowMs, changed, removed},
    writes,
    deletions,
    isEmpty: touched.size === 0,
    next: {head, objects: [...objects]},
  };
}

function applyToObjects(
  objects: readonly ConfigObject[],
  writes: readonly ConfigObject[],
  deletions: readonly ObjectVersion[],
): ConfigObject[] {
  const touched = new Set([
    ...writes.map(({kind, value}) => getObjectId(kind, value.name)),
    ...deletions.map(({kind, name}) => getObjectId(kind, name)),
  ]);
  const unchanged = objects.filter(
    ({kind, value}) => !touched.has(getObjectId(kind, value.name)),
  );
  return [...unchanged, ...writes];
}
