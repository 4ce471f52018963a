import {z} from 'zod';

/**
 * How often a request may run: `repeatable` any number of times, `once` at most
 * once per client attempt, `stream` like `once` unless the route is resumable.
 */
export const REPEATABILITIES = ['repeatable', 'once', 'stream'] as const;

/** One service that gets a share of a route's requests. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Relative weight among the targets of the route, on any scale. */
  weight: z.number().nonnegative(),
});
/** One service that gets a share of a route's requests. */
export type RouteTarget = z.infer<typeof routeTargetSchema>;

/**
 * A preparatory stage of a request: its independent work items, the pieces, are
 * processed in batches before the request can run.
 */
export const routeStageSchema = z.object({
  service: z.string(),
  /** Indexes of the stages whose results this stage reads. */
  after: z.array(z.number().int().nonnegative()),
  /** Approximate size of the result of one piece, in bytes. */
  resultBytes: z.number().nonnegative(),
});
/**
 * A preparatory stage of a request: its independent work items, the pieces, are
 * processed in batches before the request can run.
 */
export type RouteStage = z.infer<typeof routeStageSchema>;

/** A route: which requests it matches, which services they go to, and their limits. */
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
  /** Whether requests list the ids of their prompt parts, for routing by cached prefix. */
  hasAffinity: z.boolean(),
  isResumable: z.boolean(),
  /** Longest pause between two events of a stream that still meets the objective. */
  pauseLimitMs: z.number().positive().optional(),
});
/** A route: which requests it matches, which services they go to, and their limits. */
export type Route = z.infer<typeof routeSchema>;

/** Capacity and timing of one upstream of a stage service. */
export const stageCapacitySchema = z.object({
  /** Calls that one upstream processes concurrently. */
  concurrency: z.number().int().positive(),
  /** Calls that may be queued at one upstream. */
  backlog: z.number().int().nonnegative(),
  /** Maximum number of pieces in a call. */
  batchSize: z.number().int().positive(),
  /** Fixed overhead of a call in milliseconds, without its pieces. */
  callMs: z.number().nonnegative(),
  /** Approximate milliseconds per piece. */
  pieceMs: z.number().nonnegative(),
  /** Bytes of results that one upstream can store. */
  resultBytes: z.number().nonnegative(),
  /** Milliseconds for which a result is stored after its call. */
  resultTtlMs: z.number().positive(),
});
/** Capacity and timing of one upstream of a stage service. */
export type StageCapacity = z.infer<typeof stageCapacitySchema>;

/** Warm-up of an upstream: its reduced rate while it is cold, and for how long. */
export const warmUpSchema = z.object({
  /** Duration of the warm-up in milliseconds. */
  durationMs: z.number().nonnegative(),
  /** Requests per second that a cold upstream can serve, summed over all instances. */
  requestsPerSecond: z.number().positive(),
});
/** Warm-up of an upstream: its reduced rate while it is cold, and for how long. */
export type WarmUp = z.infer<typeof warmUpSchema>;

/** A service whose upstreams are interchangeable. */
export const routedServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Maximum number of connections that one upstream accepts from all callers together. */
  maxConnections: z.number().int().positive(),
  stage: stageCapacitySchema.optional(),
  /** Present if a freshly started upstream can serve less than a warm one. */
  warmUp: warmUpSchema.optional(),
  /** Present if the upstreams are model engines. */
  engine: z
    .object({
      /** Capacity of one engine's prompt cache in tokens. */
      cacheTokens: z.number().positive(),
    })
    .optional(),
});
/** A service whose upstreams are interchangeable. */
export type RoutedService = z.infer<typeof routedServiceSchema>;

/** A workspace and the keys of its callers. */
export const keyedWorkspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes precedence over the route's priority; 0 is the most urgent. */
  priority: z.number().optional(),
});
/** A workspace and the keys of its callers. */
export type KeyedWorkspace = z.infer<typeof keyedWorkspaceSchema>;

/** Size and time limits on what a caller may send. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
/** Size and time limits on what a caller may send. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** The complete configuration of routed requests at one revision. */
export const routedConfigurationSchema = z.object({
  revision: z.number(),
  routes: z.array(routeSchema),
  services: z.array(routedServiceSchema),
  /** Absent if callers need no key. */
  workspaces: z.array(keyedWorkspaceSchema).optional(),
  limits: callerLimitsSchema,
});
/** The complete configuration of routed requests at one revision. */
export type RoutedConfiguration = z.infer<typeof routedConfigurationSchema>;

/** An upstream as registered in the store, with the fields that the reading instance adds. */
export const registeredUpstreamSchema = z.object({
  /** Identifies this incarnation of the upstream; a restart gets a new id. */
  id: z.string(),
  /** Start of this incarnation in Unix milliseconds; absent if not reported. */
  startedAtMs: z.number().optional(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  /**
   * Version of its software, without an order. A stream that one version began can only be
   * continued by the same version. Absent if not reported.
   */
  softwareVersion: z.string().optional(),
  /** Requests that it processes concurrently. */
  capacity: z.number().positive(),
  isLeaving: z.boolean(),
  /** Remaining cold time in milliseconds at the time it wrote its registration. */
  coldMs: z.number().nonnegative().optional(),
  /** Increases with each write of the registration in one incarnation; absent if not reported. */
  writeCount: z.number().nonnegative().optional(),
  /** Whether operators have evacuated its failure domain; added by the reading instance. */
  isEvacuated: z.boolean().optional(),
  /**
   * Time until which it is cold according to its registration, by the clock of the
   * instance that read it, which adds this field.
   */
  coldUntilMs: z.number().optional(),
  /**
   * When the last evacuation of its failure domain ended, by the clock of the instance
   * that read the registration and adds this field.
   */
  returnedAtMs: z.number().optional(),
});
/** An upstream as registered in the store, with the fields that the reading instance adds. */
export type RegisteredUpstream = z.infer<typeof registeredUpstreamSchema>;
