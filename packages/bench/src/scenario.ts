import {parseTomlFile} from '@hollowstack/toml-file';
import {z} from 'zod';
import {POLICY_NAMES} from './policies.ts';

const poolSchema = z.strictObject({
  upstreams: z.number().int().positive(),
  /** Maximum number of requests that one upstream processes at the same time. */
  slots: z.number().int().positive().default(4),
  /** Milliseconds for a request without input. */
  baseMs: z.number().positive(),
  /** Additional milliseconds per 1,000 characters of input. */
  perKilocharacterMs: z.number().nonnegative().default(0),
  /** Relative variation of durations, 0 to 1. */
  spread: z.number().min(0).max(1).default(0.3),
  reportLagMs: z.number().nonnegative().default(1000),
});

const enginesSchema = z.strictObject({
  upstreams: z.number().int().positive(),
  /** Maximum number of sequences that one engine generates at the same time. */
  maxRunning: z.number().int().positive(),
  /** Milliseconds per token with an empty batch. */
  stepMs: z.number().positive(),
  /** Additional milliseconds per sequence in the batch. */
  perSequenceMs: z.number().nonnegative(),
  /** Milliseconds per 1,000 characters of prompt that are not cached. */
  prefillPerKilocharacterMs: z.number().nonnegative().default(40),
  /** Capacity of the prefix cache in blocks of 64 characters. */
  cacheBlocks: z.number().int().nonnegative().default(400),
  reportLagMs: z.number().nonnegative().default(1000),
  /** Every n-th cache event is lost; 0 for none. */
  loseCacheEventEvery: z.number().int().nonnegative().default(20),
});

const classSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'use small letters, digits, dashes'),
  stages: z.array(z.enum(['encode', 'retrieve', 'rerank', 'generate'])).min(1),
  deadlineMs: z.number().int().positive(),
  /** 0 is the most urgent, 9 the least. */
  priority: z.number().int().min(0).max(9),
  maxTokens: z.number().int().positive().default(16),
  /** Length of the input in characters. */
  inputCharacters: z.number().int().positive().default(200),
  /** Length of the input prefix that the requests of the class share, in characters. */
  sharedCharacters: z.number().int().nonnegative().default(0),
  /** Requests per second at load 1. */
  requestsPerSecond: z.number().positive(),
});

const workspaceSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'use small letters, digits, dashes'),
  objective: z.enum(['attainment', 'cost']).default('attainment'),
  /** Rate limit across all instances; the default does not limit. */
  requestsPerSecond: z.number().positive().default(100_000),
  classes: z.array(classSchema).min(1),
});

const burstSchema = z.strictObject({
  fromMs: z.number().nonnegative(),
  untilMs: z.number().positive(),
  /** Factor on the arrival rate during the burst. */
  factor: z.number().positive(),
  /** Names of the affected classes; all if omitted. */
  classes: z.array(z.string()).optional(),
});

const faultSchema = z.strictObject({
  atMs: z.number().nonnegative(),
  /** Time at which the fault ends; never if omitted. */
  untilMs: z.number().positive().optional(),
  /** Name of a process (`engine-3`, `entry-1`, `platform`) or of a failure domain (`domain-a`). */
  target: z.string(),
  /**
   * slow, wedged, failing, cutting and leaving apply to an upstream or to all of a
   * failure domain; killed to an upstream, an entry instance or a failure domain; and
   * isolated to an entry instance, which is cut off from its peers. down and cold
   * ignore the target: down applies to the platform's service, and cold to all engines,
   * which lose their caches. faultSettingSchema of the stand-ins describes wedged,
   * failing, cutting and leaving.
   */
  kind: z.enum([
    'slow',
    'wedged',
    'failing',
    'cutting',
    'leaving',
    'killed',
    'down',
    'isolated',
    'cold',
  ]),
  slowFactor: z.number().positive().default(5),
});

/** A scenario file. Times are milliseconds from the start of the measured part. */
export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'use small letters, digits, dashes'),
  description: z.string().default(''),
  /** Entry instances. */
  instances: z.number().int().min(1).max(200),
  /** Length of the measured part, without the warm-up. */
  durationMs: z.number().int().positive().max(600_000),
  warmupMs: z.number().int().nonnegative().default(4000),
  seeds: z.array(z.number().int()).min(1).default([1]),
  policies: z.array(z.enum(POLICY_NAMES)).min(1).default(['hollowstack']),
  /** Factor on the arrival rates of all classes. */
  load: z.number().positive().default(1),
  /** One-way milliseconds between processes, except to and from callers. */
  latencyMs: z.number().nonnegative().default(0.3),
  /** One-way milliseconds between callers and entry instances. */
  callerLatencyMs: z.number().nonnegative().default(2),
  pools: z.strictObject({
    encode: poolSchema,
    retrieve: poolSchema,
    rerank: poolSchema,
    generate: enginesSchema,
  }),
  workspaces: z.array(workspaceSchema).min(1),
  bursts: z.array(burstSchema).default([]),
  faults: z.array(faultSchema).default([]),
});
/** A scenario with all defaults set. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One class of requests of a workspace. */
export type ScenarioClass = z.infer<typeof classSchema>;
/** One fault of a scenario. */
export type ScenarioFault = z.infer<typeof faultSchema>;

/**
 * Parses a scenario file.
 *
 * @param path Shown in errors.
 * @throws HollowstackError `configuration-invalid` with the path and the line or key.
 */
export function parseScenario(text: string, path: string): Scenario {
  return parseTomlFile(text, path, scenarioSchema);
}
