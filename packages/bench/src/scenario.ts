import {parseTomlFile} from '@hollowstack/toml-file';
import {z} from 'zod';
import {POLICY_NAMES} from './policies.ts';

const poolSchema = z.strictObject({
  upstreams: z.number().int().positive(),
  /** Requests that one upstream works on at the same time. */
  slots: z.number().int().positive().default(4),
  /** Milliseconds for a request without input. */
  baseMs: z.number().positive(),
  /** Milliseconds more for each 1,000 characters of input. */
  perKilocharacterMs: z.number().nonnegative().default(0),
  /** Share by which durations differ, 0 to 1. */
  spread: z.number().min(0).max(1).default(0.3),
  reportLagMs: z.number().nonnegative().default(1000),
});

const enginesSchema = z.strictObject({
  upstreams: z.number().int().positive(),
  /** Sequences that one engine generates at the same time. */
  maxRunning: z.number().int().positive(),
  /** Milliseconds a token takes with an empty batch. */
  stepMs: z.number().positive(),
  /** Milliseconds more for each sequence in the batch. */
  perSequenceMs: z.number().nonnegative(),
  /** Milliseconds for each 1,000 characters of prompt that are not cached. */
  prefillPerKilocharacterMs: z.number().nonnegative().default(40),
  /** Blocks of 64 characters that the prefix cache holds. */
  cacheBlocks: z.number().int().nonnegative().default(400),
  reportLagMs: z.number().nonnegative().default(1000),
  /** Every how many cache events one is lost; 0 for none. */
  loseCacheEventEvery: z.number().int().nonnegative().default(20),
});

const classSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'use small letters, digits, dashes'),
  stages: z.array(z.enum(['encode', 'retrieve', 'rerank', 'generate'])).min(1),
  deadlineMs: z.number().int().positive(),
  /** 0 goes first, 9 last. */
  priority: z.number().int().min(0).max(9),
  maxTokens: z.number().int().positive().default(16),
  /** Length of the input in characters. */
  inputCharacters: z.number().int().positive().default(200),
  /** Characters at the input's begin that requests of the class share. */
  sharedCharacters: z.number().int().nonnegative().default(0),
  /** Requests a second at load 1. */
  requestsPerSecond: z.number().positive(),
});

const workspaceSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'use small letters, digits, dashes'),
  objective: z.enum(['attainment', 'cost']).default('attainment'),
  /** Limit over all instances; none where it is left out. */
  requestsPerSecond: z.number().positive().default(100_000),
  classes: z.array(classSchema).min(1),
});

const burstSchema = z.strictObject({
  fromMs: z.number().nonnegative(),
  untilMs: z.number().positive(),
  /** Factor on the arrivals. */
  factor: z.number().positive(),
  /** Names of classes; all where it is left out. */
  classes: z.array(z.string()).optional(),
});

const faultSchema = z.strictObject({
  atMs: z.number().nonnegative(),
  /** When it ends; never where it is left out. */
  untilMs: z.number().positive().optional(),
  /** Name of a process (`engine-3`, `entry-1`, `platform`) or of a failure domain (`domain-a`). */
  target: z.string(),
  /**
   * slow, wedged, failing, cutting, leaving: for upstreams; killed: for any
   * process or a whole failure domain; down: for the platform's service;
   * isolated: an entry instance is cut off from its peers; cold: engines lose
   * their caches.
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
  /** Length of the measured part; requests of the warm-up do not count. */
  durationMs: z.number().int().positive().max(600_000),
  warmupMs: z.number().int().nonnegative().default(4000),
  seeds: z.array(z.number().int()).min(1).default([1]),
  policies: z.array(z.enum(POLICY_NAMES)).min(1).default(['hollowstack']),
  /** Factor on all arrivals. */
  load: z.number().positive().default(1),
  /** Milliseconds one way between processes, and between callers and instances. */
  latencyMs: z.number().nonnegative().default(0.3),
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
/** A scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One class of requests of a workspace. */
export type ScenarioClass = z.infer<typeof classSchema>;
/** One fault of a scenario. */
export type ScenarioFault = z.infer<typeof faultSchema>;

/**
 * Parses a scenario file.
 *
 * @param path Shown in errors.
 * @throws HollowstackError `configuration-invalid` with path, line or place.
 */
export function parseScenario(text: string, path: string): Scenario {
  return parseTomlFile(text, path, scenarioSchema);
}
