import {createDeadlineSignal, waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {AsyncQueue} from '@hollowstack/transport';
import {
  StoreRefusalError,
  type KeyRange,
  type WatchEvent,
  type WatchTiming,
  type WatchProgress,
} from './key-value-store.ts';

/** One call of a watch: it is answered at the first change, or when its wait ends. */
export interface WatchCall {
  readonly range: KeyRange;
  /** The store tells of changes behind this revision. */
  readonly sinceRevision: number;
  /** Milliseconds after which the store answers without a change. */
  readonly waitMs: number;
  /** Ends the call. */
  readonly signal: AbortSignal;
}

/** What the store answered to one call of a watch. */
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
   * Makes one call.
   *
   * @throws StoreRefusalError where the store answered with something else than
   * success, StoreError where no answer came.
   */
  readonly callStore: (call: WatchCall) => Promise<WatchCallAnswer>;
}

/** For ranges without a pace of their own. */
const DEFAULT_TIMING: WatchTiming = {
  waitMs: 8000,
  batchDelayMs: 0,
  timeoutMarginMs: 1000,
};
/**
 * Times the lateness of the last empty answer that the next one may take: a
 * store that turns slow must not be taken for a silent connection.
 */
const LATENESS_FACTOR = 3;
/** Factor of the margin after a call without an answer. */
const MARGIN_GROWTH_FACTOR = 2;
/** Milliseconds that the margin grows to, at most; the time-out of other calls. */
const MAX_MARGIN_MS = 1000;
/**
 * Milliseconds that a call waits which only has to prove that its connection
 * lives: the first one of a watch, which may go over a kept connection, and the
 * one after a call without an answer.
 */
const PROBE_WAIT_MS = 50;
/** Milliseconds that a call waits which only has to tell whether there are changes. */
const REFRESH_WAIT_MS = 1;
/** Calls in a row without an answer after which the watch fails. */
const MAX_UNANSWERED = 2;

/** A call that is given up for one that is answered sooner. */
class ReplacedCallError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'ReplacedCallError';
  }
}

/** Another call of the watch was silent. */
class SuspectConnectionError extends ReplacedCallError {
  constructor() {
    super('another call of the watch was silent');
  }
}

/** Changes are asked for at once. */
class RefreshError extends ReplacedCallError {
  constructor() {
    super('changes are asked for at once');
  }
}

/** Why a call is made, which decides how long it waits. */
type CallPurpose = 'heartbeat' | 'probe' | 'refresh';

/** One answer to a call, on its way to the reader. */
interface WatchItem {
  readonly events: readonly WatchEvent[];
  readonly progress: WatchProgress;
}

/** An answer, and until when it shows all changes. */
interface ConfirmedAnswer extends WatchCallAnswer {
  readonly knownUntilMs: number;
}

/**
 * Watches ranges by calls that end with each change, as stores without streams
 * offer. A call without an answer is made again from the same revision, so
 * that a connection which fell silent costs its time-out and no change. The
 * watch fails only once a second call in a row has no answer.
 */
export class PolledWatch {
  private readonly parts: PolledWatchParts;
  private readonly calls = new Map<AbortController, CallPurpose>();
  private batchDelayController = new AbortController();
  /** Milliseconds that the store needs beyond the wait, as it was seen last. */
  private expectedMarginMs = 0;

  constructor(parts: PolledWatchParts) {
    this.parts = parts;
  }

  /**
   * Yields the changes behind a revision until the signal aborts.
   *
   * @param handleProgress Called after each answer, once its changes were taken.
   * @throws StoreError where the store does not answer, or lacks its history.
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

  /** Asks for changes at once, in place of calls that wait for them. */
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

  // Resolves to whether a refresh has ended the wait.
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
    const deadline = createDeadlineSignal(
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
      // A store that has nothing to tell answers when the wait is over.
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

  // What silenced one connection has most likely met the others too: they are
  // not waited for.
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
