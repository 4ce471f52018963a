import type {Clock} from '@hollowstack/clock';

interface Estimate {
  meanMs: number;
  samples: number;
  recordedAtMs: number;
}

/**
 * Number of samples after which the weight of a new sample stays constant, so
 * that the mean follows a change of load within about 30 requests.
 */
const MAX_SAMPLES = 30;
/** Half-life of the recorded mean while no new samples arrive. */
const HALF_LIFE_MS = 4000;

/**
 * Estimates how long a stage takes for a class of work, from recent durations.
 * Without new samples the estimate decays to its default: a class that is
 * refused because it was slow produces no samples and must be admitted again.
 */
export class DurationEstimator {
  private readonly clock: Clock;
  private readonly estimates = new Map<string, Estimate>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records a duration in milliseconds under a key such as `generate/chat`. */
  recordMs(key: string, durationMs: number): void {
    const recordedAtMs = this.clock.getNow();
    const estimate = this.estimates.get(key);
    if (!estimate) {
      this.estimates.set(key, {meanMs: durationMs, samples: 1, recordedAtMs});
      return;
    }
    estimate.samples = Math.min(MAX_SAMPLES, estimate.samples + 1);
    estimate.meanMs += (durationMs - estimate.meanMs) / estimate.samples;
    estimate.recordedAtMs = recordedAtMs;
  }

  /** Returns the mean in milliseconds, which decays to the default; the default if nothing was recorded. */
  getMeanMs(key: string, defaultMs: number): number {
    const estimate = this.estimates.get(key);
    if (!estimate) return defaultMs;
    const ageMs = this.clock.getNow() - estimate.recordedAtMs;
    const weight = 2 ** (-ageMs / HALF_LIFE_MS);
    return defaultMs + (estimate.meanMs - defaultMs) * weight;
  }
}
