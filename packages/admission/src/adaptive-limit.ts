/** Initial value and bounds of an adaptive limit, in slots. */
export interface AdaptiveLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

/** Observations of one interval, from which the limit is adjusted. */
export interface LimitSample {
  /** Whether work waited for a slot of this limit. */
  readonly hadWaitingWork: boolean;
  /** Queued requests per slot, as the upstreams report them; 0 if none reports. */
  readonly queuedPerSlot: number;
  /** Whether upstreams refused work as overloaded. */
  readonly wasRefused: boolean;
}

// A short queue keeps an upstream busy between two requests. Work queued beyond
// that can no longer be reordered or refused by this instance.
const MAX_QUEUED_PER_SLOT = 0.15;
/** Factor by which the limit shrinks on a sign of overload. */
const DECREASE_FACTOR = 0.8;

/**
 * Concurrency limit of one instance for a pool. It increases additively while
 * work waits and decreases multiplicatively when upstreams report queues or
 * refuse work, so that instances that share a pool converge to even shares
 * without communicating.
 */
export class AdaptiveLimit {
  private options: AdaptiveLimitOptions;
  private value: number;

  constructor(options: AdaptiveLimitOptions) {
    this.options = options;
    this.value = options.initial;
  }

  /** Returns the current limit in slots, a whole number of at least 1. */
  getLimit(): number {
    return Math.max(1, Math.floor(this.value));
  }

  /** Returns the initial limit in slots, which samples do not change. */
  getInitial(): number {
    return this.options.initial;
  }

  /** Sets new bounds, for example after the pool's size has changed, and clamps the limit to them. */
  setBounds(options: AdaptiveLimitOptions): void {
    this.options = options;
    this.value = Math.min(options.max, Math.max(options.min, this.value));
  }

  /** Adjusts the limit by the observations of one interval. */
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
