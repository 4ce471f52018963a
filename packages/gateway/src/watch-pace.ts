import type {WatchPace} from '@hollowstack/store';

/**
 * Milliseconds that a watch waits for a change; each watch that ends has a
 * price. Below the 30 s that stores allow.
 */
const WAIT_MS = 12_000;
/** Part of the time in which a change must be in force that gathering may take. */
const GATHER_SHARE = 1 / 3;
/**
 * Milliseconds to gather changes for each instance that watches: the calls of
 * the whole fleet for one range stay at some 80 a second.
 */
const GATHER_MS_PER_WATCHER = 12;

/** What the pace of a watch follows from. */
export interface WatchPaceInput {
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
  readonly getWatcherCount: () => number;
}

/**
 * Creates the pace of a watch that several instances hold. Every change costs
 * each of them a call, so that more of them gather changes for longer.
 */
export function createWatchPace(input: WatchPaceInput): WatchPace {
  return {
    waitMs: WAIT_MS,
    get gatherMs() {
      return Math.min(
        input.followWithinMs * GATHER_SHARE,
        input.getWatcherCount() * GATHER_MS_PER_WATCHER,
      );
    },
  };
}
