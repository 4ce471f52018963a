import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  isInRange,
  type KeyRange,
  type KeyValueStore,
  type WatchEvent,
  type WatchProgress,
} from './key-value-store.ts';

/** One reader of the shared watch. */
export interface WatchSubscription {
  readonly range: KeyRange;
  /** Called with the changes in the range, in the store's order. */
  handleEvents(events: readonly WatchEvent[]): void;
  /** Called when every change of the range up to a time was handled. */
  handleProgress?(knownUntilMs: number): void;
  /**
   * Called when the watch stands anew: changes may have been missed before it.
   *
   * @param isAfterOutage Whether the store had refused to watch in between.
   */
  handleResync(isAfterOutage: boolean): void;
}

/** Milliseconds between attempts to begin the watch again. */
export interface WatchBackoff {
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** Dependencies of WatchHub. */
export interface WatchHubParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1; spreads reconnects. */
  readonly random: () => number;
  readonly backoff?: WatchBackoff;
}

const DEFAULT_BACKOFF: WatchBackoff = {
  minBackoffMs: 200,
  maxBackoffMs: 5000,
};

/** Holds one watch for all readers of an instance, and opens it again when it ends. */
export class WatchHub {
  private readonly parts: WatchHubParts;
  private readonly backoff: WatchBackoff;
  private readonly subscriptions: WatchSubscription[] = [];
  private readonly stopController = new AbortController();
  private attemptController = new AbortController();
  private failures = 0;
  /** When the watch last stood anew. */
  private establishedAtMs: number | undefined;

  constructor(parts: WatchHubParts) {
    this.parts = parts;
    this.backoff = parts.backoff ?? DEFAULT_BACKOFF;
  }

  /** Adds a reader; to be called before start. */
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

  /** Gives the present watch up, as one that is known to be dead, and opens it anew. */
  refresh(): void {
    this.attemptController.abort(new Error('the watch is silent'));
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
    // One failure is a watch that was cut; a second one is a store that is away.
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

  // Full jitter: after an outage the whole fleet comes back spread over the
  // backoff, not in one instant.
  private computeBackoffMs(): number {
    const {minBackoffMs, maxBackoffMs} = this.backoff;
    const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** this.failures);
    return minBackoffMs / 2 + this.parts.random() * ceiling;
  }
}
