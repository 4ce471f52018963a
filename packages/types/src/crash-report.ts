import {z} from 'zod';

const upstreamCrashSchema = z.object({
  /** Id of the incarnation (process start) of the upstream that ended. */
  upstream: z.string(),
  /** Milliseconds since the request was sent there, by the reporter's clock. */
  sentAgoMs: z.number(),
  /** Milliseconds since the connection broke. */
  endedAgoMs: z.number(),
  /** Whether the same request was answered later, so it did not cause the crash. */
  isRefuted: z.boolean(),
});

/** Report to peers about a request during which upstreams have crashed. */
export const suspectReportSchema = z.object({
  /** Digest of the request's content. */
  fingerprint: z.string(),
  service: z.string(),
  /** Workspace of the caller; empty for a public route. */
  workspace: z.string(),
  isQuarantined: z.boolean(),
  /** Milliseconds since a caller last sent it. */
  idleMs: z.number(),
  crashes: z.array(upstreamCrashSchema),
});
/** Report to peers about a request during which upstreams have crashed. */
export type SuspectReport = z.infer<typeof suspectReportSchema>;
