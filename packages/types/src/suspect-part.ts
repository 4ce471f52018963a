import {z} from 'zod';

const partsSchema = z.array(z.string().max(80)).min(1).max(64);

const crashCaseSchema = z.object({
  /** Id of the incarnation of the upstream that crashed. */
  upstream: z.string(),
  service: z.string(),
  /** What a request that ran there held and nobody has seen answered. */
  parts: partsSchema,
  /** Milliseconds since the request was sent there, by the reporter's clock. */
  sentAgoMs: z.number(),
  /** Milliseconds since the connection broke. */
  endedAgoMs: z.number(),
});

/** Report on prompt parts of which one crashes upstreams. */
export const partVerdictReportSchema = z.object({
  service: z.string(),
  /** Each crash is explained by any of them; more than one until an answer clears the others. */
  parts: partsSchema,
  /** Ids of the upstreams that crashed. */
  upstreams: z.array(z.string()).max(16),
  /** Milliseconds since a caller last sent a request with one of them. */
  idleMs: z.number().nonnegative(),
});
/** Report on prompt parts of which one crashes upstreams. */
export type PartVerdictReport = z.infer<typeof partVerdictReportSchema>;

/** What an instance tells its peers about prompt parts under which upstreams crashed. */
export const partReportSchema = z.object({
  cases: z.array(crashCaseSchema),
  verdicts: z.array(partVerdictReportSchema),
  /** Parts that are not the cause, since upstreams answered requests with them. */
  cleared: z.array(
    z.object({
      service: z.string(),
      part: z.string().max(80),
      answeredAgoMs: z.number(),
    }),
  ),
});
/** What an instance tells its peers about prompt parts under which upstreams crashed. */
export type PartReport = z.infer<typeof partReportSchema>;
