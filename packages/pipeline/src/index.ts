/** Runs requests: pipelines with their stages, and calls to plain services. */
export {PipelineRunner, type PipelineRequest} from './pipeline-runner.ts';
export {
  ServiceRunner,
  type ServiceAnswer,
  type ServiceCallRequest,
} from './service-runner.ts';
export {RequestContext, type RequestIdentity} from './request-context.ts';
export type {GroupSettings, UpstreamStatus} from './group-settings.ts';
export {UpstreamGroup} from './upstream-group.ts';
export {GroupDirectory, type GroupDirectoryOptions} from './group-directory.ts';
export {LoadPoller} from './load-poller.ts';
export {
  ResultSink,
  CollectingSink,
  type PipelineResult,
  type StageTiming,
} from './result.ts';
