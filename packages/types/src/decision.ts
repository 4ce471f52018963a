import {z} from 'zod';

/** One decision about a request: what was chosen, by which rule, on which inputs. */
export const decisionSchema = z.object({
  /** Milliseconds since the epoch. */
  atMs: z.number(),
  stage: z.string(),
  /** Short name of the rule that decided. */
  rule: z.string(),
  outcome: z.string(),
  /** Inputs as the rule saw them, written for a person. */
  inputs: z.array(z.string()),
  /** The setting that would change the outcome. */
  setting: z.string().optional(),
});
/** One decision about a request. */
export type Decision = z.infer<typeof decisionSchema>;
