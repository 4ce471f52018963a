import type {WatchTiming} from '@hollowstack/store';

/**
 * Part of the time in which a change must be in force that a call of a watch waits.
 * Its answer without a change is the heartbeat which proves that the connection
 * lives; with the margin a silent one is noticed after 0.7 of that time, which
 * leaves 0.3 for the next connection. Each heartbeat costs a call.
 */
const HEARTBEAT_SHARE = 0.5;
/**
 * Part of it by which an answer may be late: 0.4 s of 2 s, where a slow store
 * takes 0.24 s.
 */
const TIMEOUT_MARGIN_SHARE = 0.2;
/**
 * Part of the time in which a change must be in force for which the changes behind a first
 * one are gathered. Registrations change in series, and each answer costs every watcher
 * its next call. With the heartbeat and its margin 0.8 of that time are used up where the
 * connection falls silent meanwhile, which leaves the rest for the next one.
 */
const BATCH_DELAY_SHARE = 0.1;
/** Part of that time that gathering may take where many instances watch. */
const MAX_BATCH_DELAY_SHARE = 1 / 3;
/**
 * Part of that time within which an answer should confirm what is known, also where changes
 * came late in a call; instances that follow others add their own wait to it.
 */
const CONFIRM_SHARE = 0.7;
/**
 * Milliseconds to gather changes for each instance that watches: the calls of
 * the whole fleet for one range stay at some 80 a second, however many watch.
 */
const BATCH_DELAY_MS_PER_WATCHER = 12;

/** What the pace of a watch follows from. */
export interface WatchTimingInput {
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
  readonly getWatcherCount: () => number;
}

/**
 * Creates the pace of a watch that several instances hold. Every change costs
 * each of them a call, so that more of them gather changes for longer.
 */
export function createWatchTiming(input: WatchTimingInput): WatchTiming {
  const {followWithinMs} = input;
  return {
    waitMs: followWithinMs * HEARTBEAT_SHARE,
    timeoutMarginMs: followWithinMs * TIMEOUT_MARGIN_SHARE,
    confirmWithinMs: followWithinMs * CONFIRM_SHARE,
    get batchDelayMs() {
      const forLoadMs = input.getWatcherCount() * BATCH_DELAY_MS_PER_WATCHER;
      return Math.min(
        followWithinMs * MAX_BATCH_DELAY_SHARE,
        Math.max(followWithinMs * BATCH_DELAY_SHARE, forLoadMs),
      );
    },
  };
}
