import {createTimeoutSignal, waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {AsyncQueue} from '@hollowstack/transport';
import {
  StoreRefusalError,
  type KeyRange,
  type WatchEvent,
  type WatchTiming,
  type WatchProgress,
} from './key-value-store.ts';

/** A long-polling call: the store answers it at the first change, or when the wait ends. */
export interface WatchCall {
  readonly range: KeyRange;
  /** The store reports changes after this revision. */
  readonly sinceRevision: number;
  /** Milliseconds after which the store answers even without a change. */
  readonly waitMs: number;
  /** Cancels the call. */
  readonly signal: AbortSignal;
}

/** The store's answer to a call of a watch. */
export interface WatchCallAnswer {
  readonly events: readonly WatchEvent[];
  /** Store revision up to which the events are complete. */
  readonly storeRevision: number;
}

/** Dependencies of PolledWatch. */
export interface PolledWatchParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /**
   * Sends one call to the store.
   *
   * @throws StoreRefusalError if the store answered with a status other than
   * success, StoreError if it did not answer.
   */
  readonly callStore: (call: WatchCall) => Promise<WatchCallAnswer>;
}

/** Timing of ranges that do not define their own. */
const DEFAULT_TIMING: WatchTiming = {
  waitMs: 8000,
  batchDelayMs: 0,
  timeoutMarginMs: 1000,
};
/**
 * Ratio of the next call's timeout margin to the lateness of the last empty
 * answer, so that a store that becomes slow is not mistaken for a dead connection.
 */
const LATENESS_FACTOR = 3;
/** Factor by which the timeout margin grows after a call that timed out. */
const MARGIN_GROWTH_FACTOR = 2;
/** Largest timeout margin in milliseconds; equals the default timeout of other store calls. */
const MAX_MARGIN_MS = 1000;
/**
 * Milliseconds that the store waits in a call which only checks its connection:
 * the first call of a watch, which may reuse an idle connection, and the call
 * after one that was not answered.
 */
const PROBE_WAIT_MS = 50;
/** Milliseconds that the store waits in a call which only asks for the changes so far. */
const REFRESH_WAIT_MS = 1;
/** Number of consecutive unanswered calls after which the watch fails. */
const MAX_UNANSWERED = 2;

/** The call was cancelled to send one that is answered sooner. */
class ReplacedCallError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'ReplacedCallError';
  }
}

/** Another call of the watch timed out, so this connection may be dead as well. */
class SuspectConnectionError extends ReplacedCallError {
  constructor() {
    super('another call of the watch timed out');
  }
}

/** The call was cancelled because a refresh requests the changes at once. */
class RefreshError extends ReplacedCallError {
  constructor() {
    super('changes are requested at once');
  }
}

/** Why a call is sent; determines how long the store waits. `heartbeat` is the regular long poll. */
type CallPurpose = 'heartbeat' | 'probe' | 'refresh';

/** An answer that is queued for the consumer of the watch. */
interface WatchItem {
  readonly events: readonly WatchEvent[];
  readonly progress: WatchProgress;
}

/** An answer with the time up to which it contains all changes. */
interface ConfirmedAnswer extends WatchCallAnswer {
  readonly knownUntilMs: number;
}

/**
 * Watches ranges by long polling, for stores that do not stream changes. An
 * unanswered call is repeated from the same revision, so that a dead connection
 * delays changes by the timeout of the call but loses none. The watch fails once
 * two consecutive calls are unanswered.
 */
export class PolledWatch {
  private readonly parts: PolledWatchParts;
  private readonly calls = new Map<AbortController, CallPurpose>();
  private batchDelayController = new AbortController();
  /** Timeout margin in milliseconds, from the lateness of recent answers. */
  private expectedMarginMs = 0;

  constructor(parts: PolledWatchParts) {
    this.parts = parts;
  }

  /**
   * Yields the changes after a revision until the signal aborts.
   *
   * @param handleProgress Called after each answer, once its changes have been consumed.
   * @throws StoreError if the store does not answer or no longer has the history.
   */
  async *watchRanges(
    ranges: readonly KeyRange[],
    sinceRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]> {
    const queue = new AsyncQueue<WatchItem>();
    const endController = new AbortController();
    const combinedSignal = AbortSignal.any([signal, endController.signal]);
    for (const range of ranges) {
      this.watchRange(range, sinceRevision, combinedSignal, queue).catch(
        error => queue.fail(error),
      );
    }
    try {
      for await (const {events, progress} of queue) {
        if (events.length > 0) yield events;
        handleProgress?.(progress);
      }
    } finally {
      endController.abort(new Error('the watch has ended'));
    }
  }

  /** Requests changes at once and cancels the calls that wait for them. */
  refresh(): void {
    for (const [controller, purpose] of this.calls) {
      if (purpose === 'heartbeat') controller.abort(new RefreshError());
    }
    this.batchDelayController.abort(new RefreshError());
    this.batchDelayController = new AbortController();
  }

  private async watchRange(
    range: KeyRange,
    startRevision: number,
    signal: AbortSignal,
    queue: AsyncQueue<WatchItem>,
  ): Promise<void> {
    const timing = range.watchTiming ?? DEFAULT_TIMING;
    let sinceRevision = startRevision;
    let unansweredCount = 0;
    let purpose: CallPurpose = 'probe';
    let knownUntilMs = this.parts.clock.getNow();
    for (;;) {
      signal.throwIfAborted();
      const {timeoutMarginMs} = timing;
      const ageMs = this.parts.clock.getNow() - knownUntilMs;
      const waitMs = computeWaitMs(timing, purpose, ageMs);
      const call = {range, sinceRevision, waitMs, signal};
      const answered = this.attemptCall(call, purpose, timeoutMarginMs);
      const answer = await answered.catch(error => {
        purpose = error instanceof RefreshError ? 'refresh' : 'probe';
        if (error instanceof ReplacedCallError) return undefined;
        unansweredCount += 1;
        const mayRetry = !(error instanceof StoreRefusalError);
        if (!mayRetry || unansweredCount >= MAX_UNANSWERED) throw error;
        return undefined;
      });
      if (!answer) continue;
      unansweredCount = 0;
      purpose = 'heartbeat';
      sinceRevision = Math.max(sinceRevision, answer.storeRevision);
      ({knownUntilMs} = answer);
      const progress = {start: range.start, knownUntilMs};
      queue.push({events: answer.events, progress});
      if (answer.events.length === 0) continue;
      const wasRefreshed = await this.waitForBatch(timing, signal);
      if (wasRefreshed) purpose = 'refresh';
    }
  }

  // Resolves to true if a refresh has ended the delay.
  private async waitForBatch(
    {batchDelayMs}: WatchTiming,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (batchDelayMs <= 0) return false;
    const {clock} = this.parts;
    const refreshed = this.batchDelayController.signal;
    const combinedSignal = AbortSignal.any([signal, refreshed]);
    await waitFor(clock, batchDelayMs, combinedSignal).catch(() =>
      signal.throwIfAborted(),
    );
    return refreshed.aborted;
  }

  private async attemptCall(
    call: WatchCall,
    purpose: CallPurpose,
    minMarginMs: number,
  ): Promise<ConfirmedAnswer> {
    const {clock} = this.parts;
    const controller = new AbortController();
    const marginMs = Math.max(minMarginMs, this.expectedMarginMs);
    const deadline = createTimeoutSignal(
      clock,
      call.waitMs + marginMs,
      () => new Error('no answer in time'),
      AbortSignal.any([call.signal, controller.signal]),
    );
    const startedAtMs = clock.getNow();
    this.calls.set(controller, purpose);
    try {
      const answer = await this.parts.callStore({
        ...call,
        signal: deadline.signal,
      });
      if (answer.events.length > 0) {
        return {...answer, knownUntilMs: startedAtMs};
      }
      const waitedUntilMs = startedAtMs + call.waitMs;
      const lateMs = clock.getNow() - waitedUntilMs;
      this.expectedMarginMs = Math.min(MAX_MARGIN_MS, LATENESS_FACTOR * lateMs);
      // Without a change the store answers once the wait is over.
      const knownUntilMs = lateMs >= 0 ? waitedUntilMs : startedAtMs;
      return {...answer, knownUntilMs};
    } catch (error) {
      if (controller.signal.aborted) throw controller.signal.reason;
      if (call.signal.aborted || error instanceof StoreRefusalError) {
        throw error;
      }
      const hasTimedOut = deadline.signal.aborted;
      const cause = hasTimedOut ? deadline.signal.reason : error;
      this.logUnanswered(call, cause, startedAtMs);
      if (hasTimedOut) this.handleTimeout(controller, marginMs);
      throw error;
    } finally {
      this.calls.delete(controller);
      deadline.release();
    }
  }

  // The fault that broke one connection has probably broken the others too, so
  // their calls are cancelled and sent again.
  private handleTimeout(own: AbortController, marginMs: number): void {
    this.expectedMarginMs = Math.min(
      MAX_MARGIN_MS,
      MARGIN_GROWTH_FACTOR * marginMs,
    );
    for (const other of this.calls.keys()) {
      if (other !== own) other.abort(new SuspectConnectionError());
    }
  }

  private logUnanswered(
    {range, sinceRevision}: WatchCall,
    error: unknown,
    startedAtMs: number,
  ): void {
    this.parts.logger.logEvent('store.watch-unanswered', {
      range: range.start,
      sinceRevision,
      tookMs: Math.round(this.parts.clock.getNow() - startedAtMs),
      reason: error instanceof Error ? error.message : String(error),
    });
  }
}

function computeWaitMs(
  {waitMs, confirmWithinMs = Infinity}: WatchTiming,
  purpose: CallPurpose,
  ageMs: number,
): number {
  if (purpose === 'refresh') return Math.min(waitMs, REFRESH_WAIT_MS);
  if (purpose === 'probe') return Math.min(waitMs, PROBE_WAIT_MS);
  const leftMs = Math.max(PROBE_WAIT_MS, confirmWithinMs - ageMs);
  return Math.min(waitMs, leftMs);
}
