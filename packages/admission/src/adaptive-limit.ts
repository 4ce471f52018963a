/** Bounds and starting point of a limit. */
export interface AdaptiveLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

/** What the last interval showed. */
export interface LimitSample {
  /** Whether work waited for a place of this limit. */
  readonly hadWaitingWork: boolean;
  /** Requests that the upstreams report as queued, for each one they can work on; 0 where none reports. */
  readonly queuedPerSlot: number;
  /** Whether upstreams refused work as overloaded. */
  readonly wasRefused: boolean;
}

// A short queue keeps an upstream busy between two requests; what waits beyond
// it waits where this instance can neither order nor refuse it any more.
const MAX_QUEUED_PER_SLOT = 0.15;
/** Factor of the limit after a sign of overload; a guess. */
const DECREASE_FACTOR = 0.8;

/**
 * How much of a pool one instance may use at a time. It grows by steps while
 * work waits and shrinks by a factor when work queues at the upstreams, so
 * that instances which share a pool come to even shares without a word.
 */
export class AdaptiveLimit {
  private options: AdaptiveLimitOptions;
  private value: number;

  constructor(options: AdaptiveLimitOptions) {
    this.options = options;
    this.value = options.initial;
  }

  /** Returns the places, a whole number of at least one. */
  getLimit(): number {
    return Math.max(1, Math.floor(this.value));
  }

  /** Returns the places it began with, however far it has moved since. */
  getInitial(): number {
    return this.options.initial;
  }

  /** Sets new bounds, as when the pool's size has changed. */
  setBounds(options: AdaptiveLimitOptions): void {
    this.options = options;
    this.value = Math.min(options.max, Math.max(options.min, this.value));
  }

  /** Takes one interval's sample in. */
  applySample(sample: LimitSample): void {
    const {min, max} = this.options;
    const isQueueing = sample.queuedPerSlot > MAX_QUEUED_PER_SLOT;
    if (isQueueing || sample.wasRefused) {
      this.value = Math.max(min, this.value * DECREASE_FACTOR);
    } else if (sample.hadWaitingWork) {
      const step = Math.max(1, this.value * 0.05);
      this.value = Math.min(max, this.value + step);
    }
  }
}
