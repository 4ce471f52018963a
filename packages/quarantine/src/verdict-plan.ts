/** Lease of a verdict in the store; stores allow leases of ten minutes. */
export const VERDICT_LEASE_MS = 10 * 60_000;
/** Fraction of the lease after which a verdict that still applies is written again. */
const REWRITE_SHARE = 0.5;

/** Changes to make in the store. */
export interface VerdictPlan {
  /** Ids of verdicts to write. */
  readonly writes: readonly string[];
  /** Ids of verdicts that have ended. */
  readonly removals: readonly string[];
}

/**
 * Compares the current verdicts with those in the store.
 *
 * @param current Ids of the verdicts that apply now.
 * @param written When each verdict in the store was last written or read, by id.
 */
export function assembleVerdictPlan(
  current: readonly string[],
  written: ReadonlyMap<string, number>,
  nowMs: number,
): VerdictPlan {
  const dueBeforeMs = nowMs - VERDICT_LEASE_MS * REWRITE_SHARE;
  return {
    writes: current.filter(id => {
      const writtenAtMs = written.get(id);
      return writtenAtMs === undefined || writtenAtMs < dueBeforeMs;
    }),
    removals: [...written.keys()].filter(id => !current.includes(id)),
  };
}
