import {
  resultOwnerSchema,
  type OwnedResult,
  type ResultOwner,
} from '@hollowstack/types';
import {z} from 'zod';

/** Store prefix of the checkpoints. */
export const CHECKPOINT_PREFIX = 'hollowstack/results/';

/**
 * Returns the key of a coordinator's checkpoint. Each life has its own, so that one which
 * has just started does not overwrite what it has to give back.
 */
export function getCheckpointKey({instance, startedAtMs}: ResultOwner): string {
  return `${CHECKPOINT_PREFIX}${instance}/${startedAtMs}`;
}

/**
 * Handles in one checkpoint, at most: some 300 KB of the megabyte that a value may have.
 * More than that are only held by fleets of over 100 upstreams of stages.
 */
export const MAX_CHECKPOINT_HANDLES = 8000;

const checkpointSchema = z.object({
  groups: z.array(
    z.object({
      owner: resultOwnerSchema,
      /** Address of the upstream that keeps them. */
      address: z.string(),
      failureDomain: z.string(),
      handles: z.array(z.string()),
    }),
  ),
});
type Checkpoint = z.infer<typeof checkpointSchema>;

/** Encodes results for the store; the newest are left out where there are too many. */
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
 * Decodes what a coordinator wrote.
 *
 * @throws SyntaxError or ZodError for anything else.
 */
export function decodeCheckpoint(text: string): OwnedResult[] {
  const {groups} = checkpointSchema.parse(JSON.parse(text));
  return groups.flatMap(({owner, address, failureDomain, handles}) =>
    handles.map(handle => ({owner, address, failureDomain, handle})),
  );
}
