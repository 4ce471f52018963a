import {suspectReportSchema, type SuspectReport} from '@hollowstack/types';

/** Store key prefix of the quarantined requests. */
export const VERDICT_PREFIX = 'hollowstack/quarantine/';

/** Lease of a verdict in the store; stores allow leases of ten minutes. */
export const VERDICT_LEASE_MS = 10 * 60_000;
/** Fraction of the lease after which a verdict that still applies is written again. */
const REWRITE_SHARE = 0.5;

/** Changes to make in the store. */
export interface VerdictPlan {
  readonly writes: readonly SuspectReport[];
  /** Fingerprints whose quarantine has ended. */
  readonly removals: readonly string[];
}

/**
 * Compares the current verdicts with those in the store.
 *
 * @param verdicts Requests that are quarantined now.
 * @param written When each verdict in the store was last written or read, by fingerprint.
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

/** Returns the store key of a verdict. */
export function getVerdictKey(fingerprint: string): string {
  return VERDICT_PREFIX + fingerprint;
}

/** Encodes a verdict as JSON for the store. */
export function encodeVerdict(report: SuspectReport): string {
  return JSON.stringify(report);
}

/**
 * Decodes a verdict from the store.
 *
 * @throws SyntaxError for invalid JSON, ZodError if it does not match the schema.
 */
export function decodeVerdict(text: string): SuspectReport {
  return suspectReportSchema.parse(JSON.parse(text));
}
