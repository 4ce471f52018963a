import {suspectReportSchema, type SuspectReport} from '@hollowstack/types';

/** Store prefix of the requests that are refused. */
export const VERDICT_PREFIX = 'hollowstack/quarantine/';

/** Milliseconds for which a verdict outlives its last writing; stores allow ten minutes. */
export const VERDICT_LEASE_MS = 10 * 60_000;
/** Share of the lease after which a verdict that still holds is written again. */
const REWRITE_SHARE = 0.5;

/** What is to be changed in the store. */
export interface VerdictPlan {
  readonly writes: readonly SuspectReport[];
  /** Fingerprints whose verdict has ended. */
  readonly removals: readonly string[];
}

/**
 * Assembles what the store lacks.
 *
 * @param written When each verdict in the store was written or read, by fingerprint.
 */
export function assembleVerdictPlan(
  verdicts: readonly SuspectReport[],
  written: ReadonlyMap<string, number>,
  nowMs: number,
): VerdictPlan {
  const quarantined = new Set(verdicts.map(({fingerprint}) => fingerprint));
  const dueBeforeMs = nowMs - VERDICT_LEASE_MS * REWRITE_SHARE;
  return {
    writes: verdicts.filter(({fingerprint}) => {
      const writtenAtMs = written.get(fingerprint);
      return writtenAtMs === undefined || writtenAtMs < dueBeforeMs;
    }),
    removals: [...written.keys()].filter(each => !quarantined.has(each)),
  };
}

/** Returns the key of a verdict. */
export function getVerdictKey(fingerprint: string): string {
  return VERDICT_PREFIX + fingerprint;
}

/** Encodes a verdict for the store. */
export function encodeVerdict(report: SuspectReport): string {
  return JSON.stringify(report);
}

/**
 * Decodes a verdict.
 *
 * @throws SyntaxError or ZodError for anything else.
 */
export function decodeVerdict(text: string): SuspectReport {
  return suspectReportSchema.parse(JSON.parse(text));
}
