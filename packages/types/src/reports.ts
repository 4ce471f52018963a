import {z} from 'zod';

/** What an upstream says of its load; it lags behind the truth. */
export const loadReportSchema = z.object({
  running: z.number().nonnegative(),
  queued: z.number().nonnegative(),
  /** Tokens generated a second by one sequence at the current batch. */
  tokensPerSecond: z.number().nonnegative().optional(),
  /** Counts up with the work done; one that stands still under load is stuck. */
  workDone: z.number().nonnegative().optional(),
  state: z.enum(['live', 'leaving']).default('live'),
  /** Models it holds; left out where that says nothing. */
  models: z.array(z.string()).optional(),
  /** Milliseconds since the epoch at which the report was true. */
  atMs: z.number().optional(),
});
/** What an upstream says of its load. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** An engine's word that it holds, or no longer holds, a prompt prefix. */
export const cacheEventSchema = z.object({
  /** Counts up by one an event; a jump means that events were lost. */
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  prefix: z.string(),
});
/** An engine's word on its prefix cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** One row of the platform's lagging list of instances. */
export const instanceRecordSchema = z.object({
  id: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});
/** One row of the platform's lagging list of instances. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;
