/** The configuration of routed services and the questions a request asks of it. */
export {
  callerLimitsSchema,
  keyedWorkspaceSchema,
  registeredUpstreamSchema,
  routedConfigurationSchema,
  routedServiceSchema,
  routeSchema,
  routeStageSchema,
  routeTargetSchema,
  stageCapacitySchema,
  REPEATABILITIES,
  type CallerLimits,
  type KeyedWorkspace,
  type RegisteredUpstream,
  type Route,
  type RoutedConfiguration,
  type RoutedService,
  type RouteStage,
  type RouteTarget,
  type StageCapacity,
} from './routed-configuration.ts';
export {RouteTable, chooseTarget, isRepeatable} from './route-table.ts';
export {computeRequestPriority} from './request-priority.ts';
