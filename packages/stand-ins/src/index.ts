/** Stand-ins for the external systems that hollowstack uses; test oracles read their work logs. */
export {
  computeChatAnswer,
  computeCompletion,
  computeEmbedding,
  computeNextToken,
  computePromptText,
  computeRerankScore,
  computeDocuments,
} from './model-text.ts';
export {PlatformStandIn, type PlatformFaults} from './platform-stand-in.ts';
export {EngineStandIn, type EngineOptions} from './engine-stand-in.ts';
export {PoolStandIn, type PoolOptions} from './pool-stand-in.ts';
export {ServiceStandIn, type ServiceOptions} from './service-stand-in.ts';
export {
  FaultSwitch,
  faultSettingSchema,
  type FaultSetting,
} from './fault-switch.ts';
export {WorkLog, type WorkRecord} from './work-log.ts';
export type {HandlerStandIn} from './handler-stand-in.ts';
