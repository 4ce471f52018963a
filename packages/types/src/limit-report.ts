import {z} from 'zod';

/** Rate limit of one upstream, as instances exchange it. */
export const limitReportSchema = z.object({
  upstream: z.string(),
  service: z.string(),
  /** Requests per second across all instances; absent once the limit has ended. */
  perSecond: z.number().nonnegative().optional(),
  /** Milliseconds since this state was last observed in an answer. */
  ageMs: z.number().nonnegative(),
});
/** Rate limit of one upstream, as instances exchange it. */
export type LimitReport = z.infer<typeof limitReportSchema>;
