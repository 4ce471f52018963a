/** How old an instance's view of the store is, and what may be decided by it. */
export {FreshnessGuard, type FreshnessGuardParts} from './freshness-guard.ts';
export {
  FreshnessTable,
  VIEW_PARTS,
  type FreshnessState,
  type FreshnessTableParts,
  type ViewPart,
} from './freshness-table.ts';
export {ViewRefresher, type PeerReach} from './view-refresher.ts';
