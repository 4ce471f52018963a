/** Tracks the age of an instance's view of the store and guards decisions against a stale view. */
export {FreshnessGuard, type FreshnessGuardParts} from './freshness-guard.ts';
export {
  FreshnessTable,
  VIEW_PARTS,
  type FreshnessState,
  type FreshnessTableParts,
  type ViewPart,
} from './freshness-table.ts';
export {ViewRefresher, type PeerReach} from './view-refresher.ts';
