import {z} from 'zod';

/** An answer as it is kept for a resend. */
export const storedAnswerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  /** Base64; undefined where the answer was too large to be kept. */
  body: z.string().optional(),
});
/** An answer as it is kept for a resend. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** How a claimed call ended, as far as the instance that ran it knows. */
export const callOutcomeSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('finished'), answer: storedAnswerSchema}),
  z.object({type: z.literal('not-run')}),
  z.object({type: z.literal('unknown')}),
]);
/** How a claimed call ended. */
export type CallOutcome = z.infer<typeof callOutcomeSchema>;
