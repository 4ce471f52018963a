/** Fraction of a limit that the coordinator grants. */
const GRANTED_SHARE = 0.8;
/** Fraction of a limit shared by all instances that cannot reach a coordinator. */
const FALLBACK_SHARE = 0.2;
/** Fraction of a limit used for probes while unlimited upstreams are available. */
const PROBE_SHARE = 0.5;
/** Minimum rate of probes, so that the end of a limit is detected promptly. */
const PROBES_PER_SECOND = 2;
/** Minimum rate, so that answers can show the end of a limit near 0. */
const MIN_PER_SECOND = 0.2;
/** Fraction of a limit used for calls that release stage results. */
const RELEASE_SHARE = 0.25;

/** Returns the requests per second that the coordinator grants under a limit. */
export function computeGrantedRate(limit: number): number {
  return Math.max(MIN_PER_SECOND, GRANTED_SHARE * limit);
}

/** Returns the requests per second that all instances together send without a coordinator. */
export function computeFallbackRate(limit: number): number {
  return Math.max(MIN_PER_SECOND, FALLBACK_SHARE * limit);
}

/**
 * Returns the probes per second that all instances together attempt at a limited upstream
 * while unlimited upstreams are available; the coordinator grants them within the limit.
 * Only an answer of the upstream shows that its limit has ended.
 */
export function computeProbeRate(limit: number): number {
  return Math.max(PROBE_SHARE * limit, PROBES_PER_SECOND);
}

/** Returns the milliseconds between releases of results at a limited upstream. */
export function computeReleaseIntervalMs(limit: number): number {
  return 1000 / Math.max(MIN_PER_SECOND, RELEASE_SHARE * limit);
}
