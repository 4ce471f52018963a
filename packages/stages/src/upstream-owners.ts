import {listByRendezvous} from '@hollowstack/routing';

/** An upstream of a stage service. */
export interface AssignableUpstream {
  readonly id: string;
  readonly service: string;
}

/** Minimum upstreams of each service that a planner has, so that one that is busy delays no job. */
const MIN_UPSTREAMS_PER_PLANNER = 2;

/**
 * Returns how many planners can share the upstreams.
 *
 * @param maxCount Number of instances that may plan.
 */
export function countUsefulPlanners(
  upstreams: readonly AssignableUpstream[],
  maxCount: number,
): number {
  const counts = listIdsByService(upstreams).map(ids => ids.length);
  const smallest = counts.length > 0 ? Math.min(...counts) : 0;
  const usefulCount = Math.floor(smallest / MIN_UPSTREAMS_PER_PLANNER);
  return Math.max(1, Math.min(maxCount, usefulCount));
}

/**
 * Assigns each upstream to one planner, by upstream id. Each planner gets about the same number of
 * each service, and few upstreams move if a planner or an upstream is added or removed.
 */
export function assembleUpstreamOwners(
  upstreams: readonly AssignableUpstream[],
  plannerIds: readonly string[],
): ReadonlyMap<string, string> {
  const owners = new Map<string, string>();
  for (const ids of listIdsByService(upstreams)) {
    const maxCount = Math.ceil(ids.length / plannerIds.length);
    const counts = new Map<string, number>();
    for (const id of [...ids].sort()) {
      const owner = listByRendezvous(id, plannerIds).find(
        planner => (counts.get(planner) ?? 0) < maxCount,
      );
      if (owner === undefined) continue;
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
      owners.set(id, owner);
    }
  }
  return owners;
}

function listIdsByService(
  upstreams: readonly AssignableUpstream[],
): string[][] {
  const groups = Map.groupBy(upstreams, ({service}) => service);
  return [...groups.values()].map(group => group.map(({id}) => id));
}
