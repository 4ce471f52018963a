import type {Route} from '@hollowstack/routes';

/** Deadlines kept for each route. */
const MAX_SAMPLES = 16;
/** Deadlines of a route from which on its usual one counts as known. */
const MIN_SAMPLES = 8;
/**
 * Share by which deadlines of first attempts differ; those of one kind of
 * caller are alike but for a part of a percent.
 */
const SPREAD = 0.02;
/** Share of the samples that must be usual, or callers differ by themselves. */
const MIN_USUAL_SHARE = 0.5;
/**
 * Share of the route's time that may have passed already where the usual
 * deadline is not known yet: callers come back within a third of their time.
 */
const MAX_UNKNOWN_SHARE = 0.34;

/** What the age of a request depends on beside its callers. */
export type AgedRoute = Pick<Route, 'name' | 'timeoutMs'>;

/**
 * Tells how long ago a caller first asked. One that asks again gives the time
 * that it still has, less than others of its route give at first; what is due
 * counts from its first attempt. So a request that can no longer be in time does
 * not hold up one that can, as after a loss of all instances, when callers whose
 * connections broke ask again.
 */
export class CallerAges {
  private readonly samples = new Map<string, number[]>();

  /**
   * Computes how long ago the first attempt was.
   *
   * @param deadlineMs Milliseconds that the caller still waits.
   * @returns Milliseconds; 0 where nothing speaks for an earlier attempt.
   */
  computeAgeMs(route: AgedRoute, deadlineMs: number): number {
    const samples = this.samples.get(route.name) ?? [];
    return computeAge(samples, route.timeoutMs, deadlineMs);
  }

  /** Notes the deadline that a caller gave. */
  recordDeadline(route: AgedRoute, deadlineMs: number): void {
    const samples = this.samples.get(route.name) ?? [];
    samples.push(deadlineMs);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.samples.set(route.name, samples);
  }
}

function computeAge(
  samples: readonly number[],
  timeoutMs: number,
  deadlineMs: number,
): number {
  if (samples.length < MIN_SAMPLES) {
    const ageMs = Math.max(0, timeoutMs - deadlineMs);
    return ageMs <= MAX_UNKNOWN_SHARE * timeoutMs ? ageMs : 0;
  }
  const usualMs = Math.max(...samples);
  const isUsual = (sample: number) => sample >= usualMs * (1 - SPREAD);
  const usualCount = samples.filter(isUsual).length;
  const areAlike = usualCount >= MIN_USUAL_SHARE * samples.length;
  if (!areAlike || isUsual(deadlineMs)) return 0;
  return usualMs - deadlineMs;
}
