import {z} from 'zod';

/** A part of a prompt that several requests may share. */
export const promptPartSchema = z.object({
  id: z.string(),
  tokens: z.number().nonnegative(),
});
/** A part of a prompt that several requests may share. */
export type PromptPart = z.infer<typeof promptPartSchema>;

/** Asks the coordinator which engine a request should be sent to. */
export const assignmentRequestSchema = z.object({
  requestId: z.string(),
  service: z.string(),
  /** Parts of the prompt in order; the last one belongs to this request only. */
  parts: z.array(promptPartSchema),
  /** Bytes of inputs that are stored in each failure domain. */
  inputs: z.array(z.object({failureDomain: z.string(), bytes: z.number()})),
  /** Ids of engines that the request must not be sent to. */
  excluded: z.array(z.string()),
  /** Whether the request is sent now; false if only a prediction is wanted. */
  isFinal: z.boolean(),
  /**
   * Milliseconds within which the first event should arrive; absent if the choice of
   * the engine ignores it.
   */
  dueInMs: z.number().optional(),
  /** Software version that the engine must have; absent if any will do. */
  softwareVersion: z.string().optional(),
});
/** Asks the coordinator which engine a request should be sent to. */
export type AssignmentRequest = z.infer<typeof assignmentRequestSchema>;

/** Progress of an assigned request, reported by the instance that sent it. */
export const assignmentProgressSchema = z.object({
  requestId: z.string(),
  upstreamId: z.string(),
  /**
   * `first`: the engine has processed the prompt. `ended`: the request no longer uses
   * the engine.
   */
  step: z.enum(['first', 'ended', 'failed']),
  /** Milliseconds from sending the request to its first event. */
  firstMs: z.number().optional(),
  /** Whether the request did not reach the engine or was rejected; absent means no. */
  isTurnedAway: z.boolean().optional(),
});
/** Progress of an assigned request, reported by the instance that sent it. */
export type AssignmentProgress = z.infer<typeof assignmentProgressSchema>;
