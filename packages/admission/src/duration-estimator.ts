interface Estimate {
  meanMs: number;
  samples: number;
}

const MAX_SAMPLES = 30;

/** Estimates how long a stage takes for a class of work, from what it took lately. */
export class DurationEstimator {
  private readonly estimates = new Map<string, Estimate>();

  /** Adds a duration in milliseconds under a key such as `generate/chat`. */
  recordMs(key: string, durationMs: number): void {
    const estimate = this.estimates.get(key);
    if (!estimate) {
      this.estimates.set(key, {meanMs: durationMs, samples: 1});
      return;
    }
    estimate.samples = Math.min(MAX_SAMPLES, estimate.samples + 1);
    estimate.meanMs += (durationMs - estimate.meanMs) / estimate.samples;
  }

  /** Returns the mean in milliseconds, or the default where nothing was recorded. */
  getMeanMs(key: string, defaultMs: number): number {
    return this.estimates.get(key)?.meanMs ?? defaultMs;
  }
}
