import type {OwnedResult} from '@hollowstack/types';

/** Results of checkpoints, split by whether their owner may still read them. */
export interface OrphanPlan {
  /** Results whose owner has restarted since it requested them. */
  readonly orphans: readonly OwnedResult[];
  /** Results whose owner still runs or is not known yet. */
  readonly others: readonly OwnedResult[];
}

/**
 * Finds the results that can be released.
 *
 * @param startTimes Start of each known instance, in Unix milliseconds. A start before
 * that of the result's owner comes from a stale list and is ignored.
 */
export function assembleOrphanPlan(
  results: readonly OwnedResult[],
  startTimes: ReadonlyMap<string, number>,
): OrphanPlan {
  const orphans: OwnedResult[] = [];
  const others: OwnedResult[] = [];
  for (const result of results) {
    const {instance, startedAtMs} = result.owner;
    const isOrphan = (startTimes.get(instance) ?? -Infinity) > startedAtMs;
    (isOrphan ? orphans : others).push(result);
  }
  return {orphans, others};
}
