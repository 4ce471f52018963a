import type {OwnedResult} from '@hollowstack/types';

/** Results of a checkpoint, by whether somebody may still read them. */
export interface OrphanPlan {
  /** Their instance has started again since it asked for them. */
  readonly orphans: readonly OwnedResult[];
  /** Their instance lives, or nothing is known of it yet. */
  readonly others: readonly OwnedResult[];
}

/**
 * Plans which results can be given back.
 *
 * @param startTimes When each known instance started, in Unix milliseconds. One that is
 * earlier than an owner's is a list that is behind, and says nothing.
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
