/**
 * Pipeline stages: batches the pieces of requests from all instances, accounts for result
 * memory and releases results.
 */
export {FirstEventTimes} from './first-event-times.ts';
export {
  assembleBatches,
  type Batch,
  type BatchPart,
  type BatchPlanInput,
  type FreeUpstream,
  type WaitingJob,
} from './batch-plan.ts';
export {ResultMemory} from './result-memory.ts';
export {StageCaller, StageCallError, type StageTarget} from './stage-caller.ts';
export {
  StageCoordinator,
  type StageCoordinatorParts,
} from './stage-coordinator.ts';
export {StagePlanners, type StagePlannersParts} from './stage-planners.ts';
export {
  StageDispatcher,
  type StageDispatcherParts,
  type UnsentStageJob,
} from './stage-dispatcher.ts';
export {ServiceTimes, type CallShare} from './service-times.ts';
export {
  StageAdmission,
  type StageAdmissionDecision,
  type StageAdmissionParts,
} from './stage-admission.ts';
export {
  PendingWorkTable,
  computeWorkMs,
  predictFinishMs,
  type FinishInput,
} from './pending-work-table.ts';
export {
  StageProtocol,
  type EncodedAnswer,
  type EncodedRequest,
  type PieceFailure,
  type PieceOutcome,
  type RunAnswer,
  type StagePiece,
} from './stage-protocol.ts';
export {
  RequestStages,
  StageError,
  type RequestStagesInput,
  type FinalStageResults,
} from './request-stages.ts';
