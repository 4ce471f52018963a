/** Configuration of routed services, and how a request finds its route, workspace and service in it. */
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
  warmUpSchema,
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
  type WarmUp,
} from './routed-configuration.ts';
export {RouteTable, chooseTarget, isRepeatable} from './route-table.ts';
export {
  findUnavailability,
  getColdUntilMs,
  getSoftwareVersion,
  hasSoftwareVersion,
  isAcceptingWork,
  type Unavailability,
} from './upstream-state.ts';
export {computeRequestPriority} from './request-priority.ts';
