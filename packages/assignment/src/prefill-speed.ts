/** Speed assumed before a service has samples. */
const DEFAULT_TOKENS_PER_MS = 50;
/** Weight of a new sample; the speed settles after about twenty prompts. */
const SAMPLE_WEIGHT = 0.05;
/** Fewer tokens give no sample: their duration is dominated by fixed overhead. */
const MIN_SAMPLE_TOKENS = 1000;
/** Lower bound of a sample, far below any known engine. */
const MIN_TOKENS_PER_MS = 2;
/** Upper bound of a sample, far above any known engine. */
const MAX_TOKENS_PER_MS = 2000;

/** Estimates the prefill speed of each service's engines from the time to the first event. */
export class PrefillSpeed {
  private readonly speeds = new Map<string, number>();

  /** Returns the prefill speed of a typical engine of the service, in prompt tokens per millisecond. */
  getTokensPerMs(service: string): number {
    return this.speeds.get(service) ?? DEFAULT_TOKENS_PER_MS;
  }

  /**
   * Records the prefill time of a prompt.
   *
   * @param tokens Tokens that the engine had to prefill: the prompt's and those queued before it.
   * @param tookMs Milliseconds from the send to the first event.
   */
  recordPrefill(service: string, tokens: number, tookMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || tookMs <= 0) return;
    const sample = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, tokens / tookMs),
    );
    const previous = this.getTokensPerMs(service);
    this.speeds.set(service, previous + (sample - previous) * SAMPLE_WEIGHT);
  }
}
