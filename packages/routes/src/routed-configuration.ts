import {z} from 'zod';

/**
 * How often a request may run: `repeatable` any number of times, `once` at most
 * once a client attempt, `stream` like `once` unless the route is resumable.
 */
export const REPEATABILITIES = ['repeatable', 'once', 'stream'] as const;

/** One service that a share of a route's requests goes to. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Share among the targets of the route; any scale. */
  weight: z.number().nonnegative(),
});
/** One service that a share of a route's requests goes to. */
export type RouteTarget = z.infer<typeof routeTargetSchema>;

/** Work in pieces that a request needs done before it can run. */
export const routeStageSchema = z.object({
  service: z.string(),
  /** Indexes of the stages whose results this one reads. */
  after: z.array(z.number().int().nonnegative()),
  /** Approximate size of the result of one piece, in bytes. */
  resultBytes: z.number().nonnegative(),
});
/** Work in pieces that a request needs done before it can run. */
export type RouteStage = z.infer<typeof routeStageSchema>;

/** A route: which requests it takes, where they go and under which bounds. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  repeatability: z.enum(REPEATABILITIES),
  timeoutMs: z.number().positive(),
  objectiveMs: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number(),
  targets: z.array(routeTargetSchema).min(1),
  maxAttempts: z.number().int().positive(),
  stages: z.array(routeStageSchema),
  isPublic: z.boolean(),
  /** Whether requests name the parts of their prompt. */
  hasAffinity: z.boolean(),
  isResumable: z.boolean(),
  /** Longest pause between two events with which a stream is in time. */
  pauseLimitMs: z.number().positive().optional(),
});
/** A route: which requests it takes, where they go and under which bounds. */
export type Route = z.infer<typeof routeSchema>;

/** How an upstream of a stage service works on pieces. */
export const stageCapacitySchema = z.object({
  /** Calls that one upstream works on at a time. */
  concurrency: z.number().int().positive(),
  /** Calls that may wait at one upstream. */
  backlog: z.number().int().nonnegative(),
  /** Most pieces in a call. */
  batchSize: z.number().int().positive(),
  /** Milliseconds a call takes beside its pieces. */
  callMs: z.number().nonnegative(),
  /** Milliseconds a piece takes, approximately. */
  pieceMs: z.number().nonnegative(),
  /** Bytes of results that one upstream can keep. */
  resultBytes: z.number().nonnegative(),
  /** Milliseconds for which a result is kept after its call. */
  resultTtlMs: z.number().positive(),
});
/** How an upstream of a stage service works on pieces. */
export type StageCapacity = z.infer<typeof stageCapacitySchema>;

/** What an upstream bears while it is cold. */
export const warmUpSchema = z.object({
  /** Milliseconds that warming up takes. */
  durationMs: z.number().nonnegative(),
  /** Requests that a cold upstream bears in a second, from all instances. */
  requestsPerSecond: z.number().positive(),
});
/** What an upstream bears while it is cold. */
export type WarmUp = z.infer<typeof warmUpSchema>;

/** A service with like upstreams. */
export const routedServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one upstream takes from all callers together. */
  maxConnections: z.number().int().positive(),
  stage: stageCapacitySchema.optional(),
  /** Present where an upstream that has just started bears less than usual. */
  warmUp: warmUpSchema.optional(),
  /** Present where the upstreams are model engines. */
  engine: z
    .object({
      /** Tokens of prompts that one engine can keep. */
      cacheTokens: z.number().positive(),
    })
    .optional(),
});
/** A service with like upstreams. */
export type RoutedService = z.infer<typeof routedServiceSchema>;

/** A workspace and the keys its callers present. */
export const keyedWorkspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Goes before the route's priority. */
  priority: z.number().optional(),
});
/** A workspace and the keys its callers present. */
export type KeyedWorkspace = z.infer<typeof keyedWorkspaceSchema>;

/** Bounds on what a caller may send. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
/** Bounds on what a caller may send. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Everything that decides about routed requests, at one revision. */
export const routedConfigurationSchema = z.object({
  revision: z.number(),
  routes: z.array(routeSchema),
  services: z.array(routedServiceSchema),
  /** Absent where callers need no key. */
  workspaces: z.array(keyedWorkspaceSchema).optional(),
  limits: callerLimitsSchema,
});
/** Everything that decides about routed requests, at one revision. */
export type RoutedConfiguration = z.infer<typeof routedConfigurationSchema>;

/** An upstream as it registers itself in the store. */
export const registeredUpstreamSchema = z.object({
  /** Names this life of the upstream; a restart brings a new one. */
  id: z.string(),
  /** When this life began, in Unix milliseconds; absent where it tells none. */
  startedAtMs: z.number().optional(),
  service: z.string(),
  address: z.string(),
  /** Failure domain. */
  failureDomain: z.string(),
  /** Requests that it works on at a time. */
  capacity: z.number().positive(),
  isLeaving: z.boolean(),
  /** Milliseconds for which it was still cold when it wrote its registration. */
  coldMs: z.number().nonnegative().optional(),
  /** Rises with each write of its registration in one life; absent if not reported. */
  writeCount: z.number().nonnegative().optional(),
  /** Whether operators have evacuated its failure domain. */
  isEvacuated: z.boolean().optional(),
  /** Until when it is cold by its registration; milliseconds of the steady clock. */
  coldUntilMs: z.number().optional(),
  /** When the last evacuation of its failure domain ended; of the steady clock. */
  returnedAtMs: z.number().optional(),
});
/** An upstream as it registers itself in the store. */
export type RegisteredUpstream = z.infer<typeof registeredUpstreamSchema>;
