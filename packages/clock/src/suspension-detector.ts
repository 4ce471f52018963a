import type {TimeSources} from './time-sources.ts';

/** Minimum milliseconds between two reads of the wall clock; callers ask for the time far more often. */
const CHECK_INTERVAL_MS = 5;
/** Milliseconds by which wall and monotonic clock may diverge before the cause is determined. */
const MAX_DRIFT_MS = 100;
/** Largest difference in milliseconds between the suspensions that wall and boot-time clock show. */
const MEASUREMENT_TOLERANCE_MS = 100;

/**
 * Measures how long the machine was suspended. The monotonic clock stops during a suspension,
 * while the wall clock and the boot-time clock run on. If only the wall clock has moved, it
 * was set.
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
   * Returns the milliseconds for which the machine was suspended since the last check; 0 if
   * it was not.
   *
   * @param steadyMs Current time of the monotonic clock.
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
