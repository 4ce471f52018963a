import type {Clock} from '@hollowstack/clock';

/** Dependencies of CoordinatorLoad. */
export interface CoordinatorLoadParts {
  readonly clock: Clock;
  /** Returns the number of unsettled jobs. */
  readonly countJobs: () => number;
}

/** Weight of the newest sample of the delay. */
const SAMPLE_WEIGHT = 0.2;
/** Milliseconds without a sample after which the delay counts half. */
const HALF_LIFE_MS = 500;
/** Mean delay in milliseconds from which the process counts as short of processor time. */
const BUSY_DELAY_MS = 25;
/** Milliseconds over which settled jobs are counted. */
const RATE_WINDOW_MS = 1500;

/**
 * The load of the process that coordinates stages. Timers that run late show that it is short of
 * processor time; then its jobs take as long as it needs to settle those before them, however
 * many upstreams are free.
 */
export class CoordinatorLoad {
  private readonly parts: CoordinatorLoadParts;
  private readonly settledAtMs: number[] = [];
  private meanDelayMs = 0;
  private delayAtMs: number;

  constructor(parts: CoordinatorLoadParts) {
    this.parts = parts;
    this.delayAtMs = parts.clock.getNow();
  }

  /** Records by how many milliseconds a timer ran late. */
  recordDelay(lateMs: number): void {
    const meanMs = this.getDelayMs();
    this.meanDelayMs = meanMs + SAMPLE_WEIGHT * (Math.max(0, lateMs) - meanMs);
    this.delayAtMs = this.parts.clock.getNow();
  }

  /** Records that a job has ended. */
  recordSettled(): void {
    this.removeOld();
    this.settledAtMs.push(this.parts.clock.getNow());
  }

  /**
   * Predicts the milliseconds that a new job takes; 0 while the process has enough processor time,
   * as then only the upstreams matter.
   */
  predictJobMs(): number {
    if (this.getDelayMs() < BUSY_DELAY_MS) return 0;
    this.removeOld();
    const perMs = Math.max(1, this.settledAtMs.length) / RATE_WINDOW_MS;
    return this.parts.countJobs() / perMs;
  }

  private getDelayMs(): number {
    const ageMs = this.parts.clock.getNow() - this.delayAtMs;
    return this.meanDelayMs * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  private removeOld(): void {
    const sinceMs = this.parts.clock.getNow() - RATE_WINDOW_MS;
    while (this.settledAtMs.length > 0 && this.settledAtMs[0] < sinceMs) {
      this.settledAtMs.shift();
    }
  }
}
