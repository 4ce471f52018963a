import {
  resultOwnerSchema,
  type OwnedResult,
  type ResultOwner,
} from '@hollowstack/types';
import {z} from 'zod';

/** Store key prefix of checkpoints. */
export const CHECKPOINT_PREFIX = 'hollowstack/results/';

/**
 * Returns the key of a coordinator's checkpoint. Each incarnation of an instance has its
 * own, so that a restarted instance does not overwrite the results that it has to release.
 */
export function getCheckpointKey({instance, startedAtMs}: ResultOwner): string {
  return `${CHECKPOINT_PREFIX}${instance}/${startedAtMs}`;
}

/**
 * Largest number of handles in a checkpoint: about 300 KB of the 1 MB that a value may have.
 * Only fleets with more than 100 stage upstreams have more.
 */
export const MAX_CHECKPOINT_HANDLES = 8000;

const checkpointSchema = z.object({
  groups: z.array(
    z.object({
      owner: resultOwnerSchema,
      /** Address of the upstream that stores the results. */
      address: z.string(),
      failureDomain: z.string(),
      handles: z.array(z.string()),
    }),
  ),
});
type Checkpoint = z.infer<typeof checkpointSchema>;

/** Encodes results for the store; omits the newest ones beyond MAX_CHECKPOINT_HANDLES. */
export function encodeCheckpoint(results: readonly OwnedResult[]): string {
  const groups = new Map<string, Checkpoint['groups'][number]>();
  for (const each of results.slice(0, MAX_CHECKPOINT_HANDLES)) {
    const {owner, address, failureDomain, handle} = each;
    const key = `${owner.instance} ${owner.startedAtMs} ${address}`;
    const group = groups.get(key);
    if (group) group.handles.push(handle);
    else groups.set(key, {owner, address, failureDomain, handles: [handle]});
  }
  const checkpoint: Checkpoint = {groups: [...groups.values()]};
  return JSON.stringify(checkpoint);
}

/**
 * Decodes a checkpoint.
 *
 * @throws SyntaxError or ZodError if the text is not a checkpoint.
 */
export function decodeCheckpoint(text: string): OwnedResult[] {
  const {groups} = checkpointSchema.parse(JSON.parse(text));
  return groups.flatMap(({owner, address, failureDomain, handles}) =>
    handles.map(handle => ({owner, address, failureDomain, handle})),
  );
}
