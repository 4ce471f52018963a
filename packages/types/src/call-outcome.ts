import {z} from 'zod';

/** An answer that is stored so that a repeated call gets it again. */
export const storedAnswerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  /** Base64; undefined if the answer was too large to be stored. */
  body: z.string().optional(),
});
/** An answer that is stored so that a repeated call gets it again. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Outcome of a claimed call as recorded by the instance that ran it. */
export const callOutcomeSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('finished'), answer: storedAnswerSchema}),
  z.object({type: z.literal('not-run')}),
  z.object({type: z.literal('unknown')}),
]);
/** Outcome of a claimed call. */
export type CallOutcome = z.infer<typeof callOutcomeSchema>;
