/** Decides which engine loads which model; the holder of a lease sends the fenced orders. */
export {
  assemblePlacementPlan,
  type EngineState,
  type PlacementPlan,
  type PlacementTarget,
  type PlannedOrder,
} from './placement-plan.ts';
export {
  PlacementLease,
  PLACEMENT_HOLDER_KEY,
  type HeldLease,
} from './placement-lease.ts';
export {
  PlacementController,
  type PlacementControllerParts,
  type ManagedEngine,
  type ManagedPool,
} from './placement-controller.ts';
