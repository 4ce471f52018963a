import {z} from 'zod';

/** Request for a grant to send to one of several rate-limited upstreams. */
export const grantRequestSchema = z.object({
  service: z.string(),
  upstreamIds: z.array(z.string()),
  /** Lower values are more urgent. */
  priority: z.number(),
  /** Empty for callers without a workspace. */
  workspace: z.string(),
  /** Whether the caller retries after a refusal. */
  isReturning: z.boolean(),
  /** Maximum time in the queue, in milliseconds. */
  maxWaitMs: z.number().nonnegative(),
});
/** Request for a grant to send to one of several rate-limited upstreams. */
export type GrantRequest = z.infer<typeof grantRequestSchema>;

/** The coordinator's decision on a grant request. */
export const grantDecisionSchema = z.object({
  /** Upstream that the request may be sent to; absent if it is refused. */
  upstreamId: z.string().optional(),
  /** Milliseconds after which a refused caller may retry. */
  retryAfterMs: z.number().nonnegative(),
});
/** The coordinator's decision on a grant request. */
export type GrantDecision = z.infer<typeof grantDecisionSchema>;
