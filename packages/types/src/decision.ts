import {z} from 'zod';

/** One decision about a request, with the rule that made it and the rule's inputs. */
export const decisionSchema = z.object({
  /** Milliseconds since the epoch. */
  atMs: z.number(),
  stage: z.string(),
  /** Short name of the rule that made the decision. */
  rule: z.string(),
  outcome: z.string(),
  /** Inputs of the rule, formatted for a human reader. */
  inputs: z.array(z.string()),
  /** The setting that would change the outcome. */
  setting: z.string().optional(),
});
/** One decision about a request. */
export type Decision = z.infer<typeof decisionSchema>;
