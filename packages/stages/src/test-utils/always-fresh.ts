import type {StageCoordinatorParts} from '../stage-coordinator.ts';

/** A freshness guard whose view of the store is never stale. */
export const ALWAYS_FRESH: StageCoordinatorParts['freshnessGuard'] = {
  isRefreshDue: () => false,
  refresh: async () => {},
};
