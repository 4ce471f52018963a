/** Prompt tokens a millisecond, before anything was learnt of a service. */
const DEFAULT_TOKENS_PER_MS = 50;
/** Weight of the newest prompt; some twenty settle it. */
const SAMPLE_WEIGHT = 0.05;
/** Shorter readings say more of the fixed times around them than of the speed. */
const MIN_SAMPLE_TOKENS = 1000;
/** Bounds of what is learnt, far beyond any engine known. */
const MIN_TOKENS_PER_MS = 2;
/** Upper bound of what is learnt, likewise. */
const MAX_TOKENS_PER_MS = 2000;

/** How fast the engines of each service read prompts, learnt from first events. */
export class PrefillSpeed {
  private readonly speeds = new Map<string, number>();

  /** Returns prompt tokens that a usual engine of the service reads in a millisecond. */
  getTokensPerMs(service: string): number {
    return this.speeds.get(service) ?? DEFAULT_TOKENS_PER_MS;
  }

  /**
   * Notes how long an engine took to read.
   *
   * @param tokens Tokens that it had to read: the prompt's and those before it.
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
