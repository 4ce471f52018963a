import {z} from 'zod';

/** Load as reported by an upstream; it lags behind the actual load. */
export const loadReportSchema = z.object({
  running: z.number().nonnegative(),
  queued: z.number().nonnegative(),
  /** Tokens per second generated for one sequence at the current batch size. */
  tokensPerSecond: z.number().nonnegative().optional(),
  /** Counter of completed work; if it does not grow under load, the upstream is stuck. */
  workDone: z.number().nonnegative().optional(),
  state: z.enum(['live', 'leaving']).default('live'),
  /** Loaded models; absent if the upstream does not report models. */
  models: z.array(z.string()).optional(),
  /** Time of the reported state, in milliseconds since the epoch. */
  atMs: z.number().optional(),
});
/** Load as reported by an upstream. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Reports that an engine has cached or evicted a prompt prefix. */
export const cacheEventSchema = z.object({
  /** Increases by one with each event; a gap means that events were lost. */
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  prefix: z.string(),
});
/** A change of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** One entry of the platform's list of instances, which may lag behind. */
export const instanceRecordSchema = z.object({
  id: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});
/** One entry of the platform's list of instances, which may lag behind. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;
