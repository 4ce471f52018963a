/** Gateway for routed services: forwards requests to upstreams unchanged. */
export {Gateway, type GatewayParts} from './gateway.ts';
export {createGateway, type GatewayEnvironment} from './create-gateway.ts';
export {
  gatewaySettingsSchema,
  parseGatewaySettings,
  type GatewaySettings,
} from './gateway-settings.ts';
export {
  RequestProtocol,
  UnreadableEntryError,
  type RequestHeaderNames,
} from './request-protocol.ts';
export {EngineProtocol} from './engine-protocol.ts';
export {RouteHolder} from './route-holder.ts';
export {UpstreamRegistry} from './upstream-registry.ts';
export {WindowRetryBudget, type RetryBound} from './window-retry-budget.ts';
export {
  chooseRequestUpstream,
  type UpstreamCandidate,
  type UpstreamChoiceInput,
} from './upstream-choice.ts';
