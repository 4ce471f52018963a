/** Decides which engine holds which model, and sends fenced orders from a lease holder. */
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
