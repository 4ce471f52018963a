import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  isInRange,
  type KeyRange,
  type KeyValueStore,
  type WatchEvent,
  type WatchProgress,
} from './key-value-store.ts';

/** A subscriber of the shared watch. */
export interface WatchSubscription {
  readonly range: KeyRange;
  /** Called with the changes in the range, in the order of the store. */
  handleEvents(events: readonly WatchEvent[]): void;
  /** Called when all changes of the range up to a time have been handled. */
  handleProgress?(knownUntilMs: number): void;
  /**
   * Called when the watch is established or re-established: changes before that may have been
   * missed.
   *
   * @param isAfterOutage Whether the store was unavailable in between.
   */
  handleResync(isAfterOutage: boolean): void;
}

/** Milliseconds between attempts to re-establish the watch. */
export interface WatchBackoff {
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** Dependencies of WatchHub. */
export interface WatchHubParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1; spreads reconnections. */
  readonly random: () => number;
  readonly backoff?: WatchBackoff;
}

const DEFAULT_BACKOFF: WatchBackoff = {
  minBackoffMs: 200,
  maxBackoffMs: 5000,
};

/** Shares one watch among all subscribers of an instance and re-establishes it when it ends. */
export class WatchHub {
  private readonly parts: WatchHubParts;
  private readonly backoff: WatchBackoff;
  private readonly subscriptions: WatchSubscription[] = [];
  private readonly stopController = new AbortController();
  private attemptController = new AbortController();
  private failures = 0;
  /** When the current watch was established; undefined while there is none. */
  private establishedAtMs: number | undefined;

  constructor(parts: WatchHubParts) {
    this.parts = parts;
    this.backoff = parts.backoff ?? DEFAULT_BACKOFF;
  }

  /** Adds a subscriber; to be called before start. */
  addSubscription(subscription: WatchSubscription): void {
    this.subscriptions.push(subscription);
  }

  /** Watches until stopped. */
  async start(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      this.attemptController = new AbortController();
      const combinedSignal = AbortSignal.any([
        signal,
        this.attemptController.signal,
      ]);
      const error = await this.watchOnce(combinedSignal).catch(
        (thrown: unknown) =>
          this.attemptController.signal.aborted
            ? this.attemptController.signal.reason
            : thrown,
      );
      if (signal.aborted) return;
      this.logWatchEnd(error);
      await waitFor(this.parts.clock, this.computeBackoffMs(), signal).catch(
        () => {},
      );
      this.failures += 1;
    }
  }

  stop(): void {
    this.stopController.abort(new Error('stopped'));
  }

  /** Ends the current watch, which is known to be unresponsive, and opens a new one. */
  refresh(): void {
    this.attemptController.abort(new Error('the watch is unresponsive'));
  }

  private async watchOnce(signal: AbortSignal): Promise<void> {
    const {store} = this.parts;
    const ranges = this.subscriptions.map(({range}) => range);
    const watch = store.watchRanges(ranges, 0, signal, progress =>
      this.deliverProgress(progress),
    );
    for await (const events of watch) {
      if (events.length === 0) this.startResync();
      else this.deliverEvents(events);
    }
  }

  private startResync(): void {
    // A single failure is taken for a broken connection, a second one for an outage of the store.
    const {clock, logger, store} = this.parts;
    const isAfterOutage = this.failures > 1 || store.isAfterOutage();
    const {failures} = this;
    this.failures = 0;
    this.establishedAtMs = clock.getNow();
    logger.logEvent('store.watch-standing', {isAfterOutage, failures});
    for (const subscription of this.subscriptions) {
      subscription.handleResync(isAfterOutage);
    }
  }

  private deliverEvents(events: readonly WatchEvent[]): void {
    for (const subscription of this.subscriptions) {
      const matching = events.filter(event =>
        isInRange(event.key, subscription.range),
      );
      if (matching.length > 0) subscription.handleEvents(matching);
    }
  }

  private deliverProgress({start, knownUntilMs}: WatchProgress): void {
    for (const subscription of this.subscriptions) {
      if (subscription.range.start !== start) continue;
      subscription.handleProgress?.(knownUntilMs);
    }
  }

  private logWatchEnd(error: unknown): void {
    const {clock, logger} = this.parts;
    const {establishedAtMs, failures} = this;
    this.establishedAtMs = undefined;
    logger.logEvent('store.watch-ended', {
      reason: error instanceof Error ? error.message : 'ended by the store',
      failures,
      stoodMs:
        establishedAtMs === undefined
          ? undefined
          : Math.round(clock.getNow() - establishedAtMs),
    });
  }

  // The jitter covers the whole back-off, so that the reconnections of the fleet after an
  // outage spread out instead of arriving at once.
  private computeBackoffMs(): number {
    const {minBackoffMs, maxBackoffMs} = this.backoff;
    const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** this.failures);
    return minBackoffMs / 2 + this.parts.random() * ceiling;
  }
}
