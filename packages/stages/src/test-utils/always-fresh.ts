import type {StageCoordinatorParts} from '../stage-coordinator.ts';

/** The guard of a view of the store that is never stale. */
export const ALWAYS_FRESH: StageCoordinatorParts['freshnessGuard'] = {
  isRefreshDue: () => false,
  refresh: async () => {},
};
