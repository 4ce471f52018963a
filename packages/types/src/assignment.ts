import {z} from 'zod';

/** One part of a prompt that requests may share. */
export const promptPartSchema = z.object({
  id: z.string(),
  tokens: z.number().nonnegative(),
});
/** One part of a prompt that requests may share. */
export type PromptPart = z.infer<typeof promptPartSchema>;

/** A question which engine a request should go to. */
export const assignmentRequestSchema = z.object({
  requestId: z.string(),
  service: z.string(),
  /** The prompt from its beginning; the last part is the request's own. */
  parts: z.array(promptPartSchema),
  /** Bytes of inputs that lie in each failure domain. */
  inputs: z.array(z.object({failureDomain: z.string(), bytes: z.number()})),
  /** Engines that the request must not go to. */
  excluded: z.array(z.string()),
  /** Whether the request is sent now; otherwise only a forecast is asked for. */
  isFinal: z.boolean(),
  /**
   * Milliseconds in which the first event should come; absent where the placing is not
   * to look at it.
   */
  dueInMs: z.number().optional(),
});
/** A question which engine a request should go to. */
export type AssignmentRequest = z.infer<typeof assignmentRequestSchema>;

/** What an instance has seen of a request that was assigned. */
export const assignmentProgressSchema = z.object({
  requestId: z.string(),
  upstreamId: z.string(),
  /** `first`: its prompt is read. `ended`: it needs nothing more there. */
  step: z.enum(['first', 'ended', 'failed']),
  /** Milliseconds from sending the request to its first event. */
  firstMs: z.number().optional(),
  /** Whether the engine got nothing of it, or turned it away; absent means no. */
  isTurnedAway: z.boolean().optional(),
});
/** What an instance has seen of a request that was assigned. */
export type AssignmentProgress = z.infer<typeof assignmentProgressSchema>;
