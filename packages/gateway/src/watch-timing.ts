import type {WatchTiming} from '@hollowstack/store';

/**
 * Share of `followWithinMs` for which a watch call waits for changes. An answer without
 * changes is the heartbeat that proves the connection alive. With the time-out margin an
 * unresponsive connection is detected after 0.7 of `followWithinMs`, which leaves 0.3 for
 * the next connection. Each heartbeat costs a call.
 */
const HEARTBEAT_SHARE = 0.5;
/** Share by which an answer may be late: 0.4 s of 2 s, while a slow store takes 0.24 s. */
const TIMEOUT_MARGIN_SHARE = 0.2;
/**
 * Share of `followWithinMs` for which changes after a first one are batched. Registrations
 * change in bursts, and each answer costs every watcher its next call. If the connection
 * becomes unresponsive meanwhile, batching, heartbeat and margin take 0.8 of
 * `followWithinMs`, which leaves the rest for the next connection.
 */
const BATCH_DELAY_SHARE = 0.1;
/** Maximum share for batching if many instances watch. */
const MAX_BATCH_DELAY_SHARE = 1 / 3;
/**
 * Share within which an answer should confirm that the view is complete, also if changes
 * arrived late in a call. Instances that follow a relay add their own wait to it.
 */
const CONFIRM_SHARE = 0.7;
/**
 * Batching time for each watching instance. It keeps the whole fleet's calls for one range
 * at about 80 per second, however many instances watch.
 */
const BATCH_DELAY_MS_PER_WATCHER = 12;

/** Inputs of createWatchTiming. */
export interface WatchTimingInput {
  /** Milliseconds within which a change must be in force on this instance. */
  readonly followWithinMs: number;
  readonly getWatcherCount: () => number;
}

/**
 * Computes the timing of a watch that several instances keep open. Every change costs each
 * of them a call, so the batching time grows with their number.
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
