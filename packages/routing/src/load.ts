/**
 * What is known of one upstream's load; a plain value that transitions replace.
 * The load that reports tell of is left out on purpose: it is a second old, and
 * instances that all act on it send their work to the same upstream at once.
 */
export interface LoadState {
  /** This instance's own requests in progress there. */
  readonly ownInFlight: number;
  /** How long work takes there over what the same work takes elsewhere; 1 for alike. */
  readonly slowness: number;
}

/** Weight of the newest piece of work in the slowness. */
const SLOWNESS_WEIGHT = 0.15;
/** Slowness between this and its inverse is noise and counts as 1. */
const SLOWNESS_NOISE = 1.5;

/** Returns the state of an upstream that nothing is known about. */
export function createLoadState(): LoadState {
  return {
    ownInFlight: 0,
    slowness: 1,
  };
}

/** A request of this instance was sent. */
export function recordDispatch(load: LoadState): LoadState {
  return {...load, ownInFlight: load.ownInFlight + 1};
}

/** A request of this instance has ended, in whatever way. */
export function recordCompletion(load: LoadState): LoadState {
  return {...load, ownInFlight: Math.max(0, load.ownInFlight - 1)};
}

/**
 * A piece of work was finished.
 *
 * @param slowness What it took over what was expected of it.
 */
export function recordSlowness(load: LoadState, slowness: number): LoadState {
  const change = (slowness - load.slowness) * SLOWNESS_WEIGHT;
  return {...load, slowness: load.slowness + change};
}

/** Returns by what factor work there is slower, with its noise taken out. */
export function getEffectiveSlowness({slowness}: LoadState): number {
  const isNoise = slowness < SLOWNESS_NOISE && slowness > 1 / SLOWNESS_NOISE;
  return isNoise ? 1 : slowness;
}

/** Computes this instance's requests there, for each request it can work on at a time. */
export function computeOccupancy(load: LoadState, slots: number): number {
  return load.ownInFlight / slots;
}

/**
 * Predicts how long a piece of work takes there.
 *
 * @param expectedMs What the same work takes at an upstream without other load.
 * @param slots Requests that the upstream works on at the same time.
 */
export function predictDurationMs(
  load: LoadState,
  expectedMs: number,
  slots: number,
): number {
  const occupancy = computeOccupancy(load, slots);
  return expectedMs * getEffectiveSlowness(load) * (1 + occupancy);
}
