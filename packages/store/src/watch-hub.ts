import {waitFor, type Clock} from '@hollowstack/clock';
import {
  isInRange,
  type KeyRange,
  type KeyValueStore,
  type WatchEvent,
} from './key-value-store.ts';

/** One reader of the shared watch. */
export interface WatchSubscription {
  readonly range: KeyRange;
  /** Called with the changes in the range, in the store's order. */
  handleEvents(events: readonly WatchEvent[]): void;
  /**
   * Called when the watch stands anew: changes may have been missed before it.
   *
   * @param isAfterOutage Whether the store had refused to watch in between.
   */
  handleResync(isAfterOutage: boolean): void;
}

/** Times of the watch, in milliseconds. */
export interface WatchHubOptions {
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

const DEFAULT_OPTIONS: WatchHubOptions = {
  minBackoffMs: 200,
  maxBackoffMs: 5000,
};

/** Holds one watch for all readers of an instance, and opens it again when it ends. */
export class WatchHub {
  private readonly store: KeyValueStore;
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly options: WatchHubOptions;
  private readonly subscriptions: WatchSubscription[] = [];
  private readonly controller = new AbortController();
  private attempt = new AbortController();
  private failures = 0;

  /** @param random Returns numbers from 0 to below 1; spreads reconnects. */
  constructor(
    store: KeyValueStore,
    clock: Clock,
    random: () => number,
    options: WatchHubOptions = DEFAULT_OPTIONS,
  ) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    this.options = options;
  }

  /** Adds a reader; to be called before start. */
  addSubscription(subscription: WatchSubscription): void {
    this.subscriptions.push(subscription);
  }

  /** Watches until stopped. */
  async start(): Promise<void> {
    const {signal} = this.controller;
    while (!signal.aborted) {
      this.attempt = new AbortController();
      const either = AbortSignal.any([signal, this.attempt.signal]);
      await this.watchOnce(either).catch(() => {});
      if (signal.aborted) return;
      await waitFor(this.clock, this.computeBackoffMs(), signal).catch(
        () => {},
      );
      this.failures += 1;
    }
  }

  stop(): void {
    this.controller.abort(new Error('stopped'));
  }

  /** Gives the present watch up, as one that is known to be dead, and opens it anew. */
  refresh(): void {
    this.attempt.abort(new Error('the watch is silent'));
  }

  private async watchOnce(signal: AbortSignal): Promise<void> {
    const ranges = this.subscriptions.map(({range}) => range);
    for await (const events of this.store.watchRanges(ranges, 0, signal)) {
      if (events.length === 0) this.startResync();
      else this.sendToReaders(events);
    }
  }

  private startResync(): void {
    // One failure is a watch that was cut; a second one is a store that is away.
    const isAfterOutage = this.failures > 1 || this.store.isAfterOutage();
    this.failures = 0;
    for (const reader of this.subscriptions) {
      reader.handleResync(isAfterOutage);
    }
  }

  private sendToReaders(events: readonly WatchEvent[]): void {
    for (const subscription of this.subscriptions) {
      const own = events.filter(event =>
        isInRange(event.key, subscription.range),
      );
      if (own.length > 0) subscription.handleEvents(own);
    }
  }

  // Full jitter: after an outage the whole fleet comes back spread over the
  // backoff, not in one instant.
  private computeBackoffMs(): number {
    const {minBackoffMs, maxBackoffMs} = this.options;
    const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** this.failures);
    return minBackoffMs / 2 + this.random() * ceiling;
  }
}
