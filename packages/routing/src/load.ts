/**
 * Load of one upstream; an immutable value that each transition replaces. It
 * deliberately excludes the load that upstreams report: reports are about a
 * second old, and instances that all act on them send their work to the same
 * upstream at once.
 */
export interface LoadState {
  /** Requests of this instance in flight there. */
  readonly ownInFlight: number;
  /** Duration of work there relative to the same work elsewhere; 1 is equal. */
  readonly slowness: number;
}

/** Weight of a new sample in the slowness. */
const SLOWNESS_WEIGHT = 0.15;
/** A slowness between this factor and its inverse is treated as noise and counts as 1. */
const SLOWNESS_NOISE = 1.5;

/** Returns the initial state: nothing in flight, and a slowness of 1. */
export function createLoadState(): LoadState {
  return {
    ownInFlight: 0,
    slowness: 1,
  };
}

/** Records that this instance sent a request. */
export function recordDispatch(load: LoadState): LoadState {
  return {...load, ownInFlight: load.ownInFlight + 1};
}

/** Records that a request of this instance ended, with success or not. */
export function recordCompletion(load: LoadState): LoadState {
  return {...load, ownInFlight: Math.max(0, load.ownInFlight - 1)};
}

/**
 * Records the slowness of finished work.
 *
 * @param slowness Its actual duration divided by the expected one.
 */
export function recordSlowness(load: LoadState, slowness: number): LoadState {
  const change = (slowness - load.slowness) * SLOWNESS_WEIGHT;
  return {...load, slowness: load.slowness + change};
}

/** Returns the slowness without noise: values close to 1 become 1. */
export function getEffectiveSlowness({slowness}: LoadState): number {
  const isNoise = slowness < SLOWNESS_NOISE && slowness > 1 / SLOWNESS_NOISE;
  return isNoise ? 1 : slowness;
}

/** Computes the in-flight requests of this instance per slot of the upstream. */
export function computeOccupancy(load: LoadState, slots: number): number {
  return load.ownInFlight / slots;
}

/**
 * Predicts the duration of work there.
 *
 * @param expectedMs Duration of the same work at an idle upstream.
 * @param slots Requests that the upstream processes concurrently.
 */
export function predictDurationMs(
  load: LoadState,
  expectedMs: number,
  slots: number,
): number {
  const occupancy = computeOccupancy(load, slots);
  return expectedMs * getEffectiveSlowness(load) * (1 + occupancy);
}
