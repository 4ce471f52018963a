/** Schemas of configuration, reports, records and peer messages, with the inferred types. */
export {
  STAGE_KINDS,
  poolSchema,
  serviceSchema,
  stageSchema,
  templateSchema,
  workspaceSchema,
  workspacePipelineSchema,
  upstreamSchema,
  type Pool,
  type Service,
  type ServiceOperation,
  type Stage,
  type StageKind,
  type Template,
  type Upstream,
  type Workspace,
  type WorkspacePipeline,
} from './objects.ts';
export {
  OBJECT_KINDS,
  changeRecordSchema,
  configObjectSchema,
  configurationSnapshotSchema,
  headSchema,
  type ChangeRecord,
  type ConfigObject,
  type ConfigurationSnapshot,
  type Head,
  type ObjectKind,
  type ObjectVersion,
} from './configuration.ts';
export {
  loadReportSchema,
  cacheEventSchema,
  instanceRecordSchema,
  type LoadReport,
  type CacheEvent,
  type InstanceRecord,
} from './reports.ts';
export {decisionSchema, type Decision} from './decision.ts';
export {
  callOutcomeSchema,
  storedAnswerSchema,
  type CallOutcome,
  type StoredAnswer,
} from './call-outcome.ts';
export {addressSchema, splitAddress} from './address.ts';
export {
  STAGE_FAILURES,
  resultOwnerSchema,
  stageAdmissionRequestSchema,
  stageJobSchema,
  stageOutcomeSchema,
  stageResultSchema,
  stageStepSchema,
  storeCopySchema,
  type BrokenCall,
  type OwnedResult,
  type ResultOwner,
  type StageAdmissionRequest,
  type StageFailure,
  type StageJob,
  type StageOutcome,
  type StageResult,
  type StageStep,
  type StoreCopy,
} from './stage-job.ts';
export {
  assignmentProgressSchema,
  assignmentRequestSchema,
  promptPartSchema,
  type AssignmentProgress,
  type AssignmentRequest,
  type PromptPart,
} from './assignment.ts';
export {
  observedVersionsSchema,
  streamOriginSchema,
  type ObservedVersions,
  type StreamOrigin,
} from './stream-origin.ts';
export {
  partReportSchema,
  partVerdictReportSchema,
  type PartReport,
  type PartVerdictReport,
} from './suspect-part.ts';
export {suspectReportSchema, type SuspectReport} from './crash-report.ts';
export {limitReportSchema, type LimitReport} from './limit-report.ts';
export {
  grantDecisionSchema,
  grantRequestSchema,
  type GrantDecision,
  type GrantRequest,
} from './send-grant.ts';
