import type {WatchPace} from '@hollowstack/store';

/**
 * Milliseconds that a watch waits for a change; each watch that ends has a
 * price. Below the 30 s that stores allow.
 */
const WAIT_MS = 12_000;
/**
 * Part of the time in which a change must be in force that a call of a watch may
 * wait where its answer is a heartbeat. With the margin a silent connection is
 * noticed after 0.7 of that time, which leaves 0.3 for the next connection.
 */
const HEARTBEAT_SHARE = 0.5;
/**
 * Part of it by which an answer may be late: 0.4 s of 2 s, where a slow store
 * takes 0.24 s.
 */
const MARGIN_SHARE = 0.2;
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
  /**
   * Whether the answers without a change are the heartbeat by which the watch
   * of all ranges proves that its connections live. Each costs a call.
   */
  readonly isHeartbeat: boolean;
}

/**
 * Creates the pace of a watch that several instances hold. Every change costs
 * each of them a call, so that more of them gather changes for longer.
 */
export function createWatchPace(input: WatchPaceInput): WatchPace {
  const {followWithinMs, isHeartbeat} = input;
  return {
    waitMs: isHeartbeat ? followWithinMs * HEARTBEAT_SHARE : WAIT_MS,
    marginMs: followWithinMs * MARGIN_SHARE,
    get gatherMs() {
      return Math.min(
        followWithinMs * GATHER_SHARE,
        input.getWatcherCount() * GATHER_MS_PER_WATCHER,
      );
    },
  };
}
