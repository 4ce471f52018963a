import type {TimeSources} from './time-sources.ts';

/** Milliseconds between two looks at the wall clock; time is read far more often. */
const CHECK_INTERVAL_MS = 5;
/** Milliseconds by which wall and steady clock may part before the cause is looked for. */
const MAX_DRIFT_MS = 100;
/** Milliseconds by which two measurements of one suspension may differ. */
const MEASUREMENT_TOLERANCE_MS = 100;

/**
 * Finds how long the machine was suspended. The steady clock does not count that time, the
 * wall clock and the boot-time clock both do; a wall clock that was set moves alone.
 */
export class SuspensionDetector {
  private readonly sources: TimeSources;
  private wallOffsetMs: number;
  private bootOffsetMs: number;
  private checkedAtMs: number;

  constructor(sources: TimeSources) {
    this.sources = sources;
    const steadyMs = sources.getSteadyMs();
    this.checkedAtMs = steadyMs;
    this.wallOffsetMs = sources.getWallMs() - steadyMs;
    this.bootOffsetMs = sources.getBootMs() - steadyMs;
  }

  /**
   * Returns the milliseconds of a suspension since the last look; 0 for none.
   *
   * @param steadyMs What the steady clock shows now.
   */
  readSuspendedMs(steadyMs: number): number {
    if (steadyMs - this.checkedAtMs < CHECK_INTERVAL_MS) return 0;
    this.checkedAtMs = steadyMs;
    const {sources} = this;
    const driftMs = sources.getWallMs() - steadyMs - this.wallOffsetMs;
    if (Math.abs(driftMs) <= MAX_DRIFT_MS) return 0;
    this.wallOffsetMs += driftMs;
    const bootOffsetMs = sources.getBootMs() - steadyMs;
    const bootDriftMs = bootOffsetMs - this.bootOffsetMs;
    this.bootOffsetMs = bootOffsetMs;
    const isSuspension =
      driftMs > 0 &&
      Math.abs(bootDriftMs - driftMs) <= MEASUREMENT_TOLERANCE_MS;
    return isSuspension ? driftMs : 0;
  }
}
