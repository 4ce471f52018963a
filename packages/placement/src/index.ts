/** Decides which engine holds which model, and sends fenced orders from a lease holder. */
export {
  assemblePlacementPlan,
  type EngineState,
  type PlacementPlan,
  type PlacementTarget,
  type PlannedOrder,
} from './placement-plan.ts';
export {HolderLease, HOLDER_KEY, type HeldLease} from './holder-lease.ts';
export {
  PlacementKeeper,
  type PlacementKeeperParts,
  type ManagedEngine,
  type ManagedPool,
} from './placement-keeper.ts';
