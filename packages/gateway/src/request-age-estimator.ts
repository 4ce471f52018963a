import type {Route} from '@hollowstack/routes';

/** Deadlines kept for each route. */
const MAX_SAMPLES = 16;
/** Deadlines of a route from which on its usual one counts as known. */
const MIN_SAMPLES = 8;
/**
 * Share by which deadlines of first attempts differ; those of one kind of
 * caller are alike but for a part of a percent.
 */
const DEADLINE_TOLERANCE = 0.02;
/** Share of the samples that must be usual, or callers differ by themselves. */
const MIN_USUAL_SHARE = 0.5;
/** What the age of a request depends on beside its callers. */
export type RouteIdentity = Pick<Route, 'name'>;

/**
 * Tells how long ago a caller first asked. One that asks again gives the time
 * that it still has, less than others of its route give at first; what is due
 * counts from its first attempt. So a request that can no longer be in time does
 * not hold up one that can, as after a loss of all instances, when callers whose
 * connections broke ask again.
 */
export class RequestAgeEstimator {
  private readonly samples = new Map<string, number[]>();

  /**
   * Computes how long ago the first attempt was.
   *
   * @param deadlineMs Milliseconds that the caller still waits.
   * @returns Milliseconds; 0 where nothing speaks for an earlier attempt.
   */
  computeAgeMs(route: RouteIdentity, deadlineMs: number): number {
    return computeAge(this.samples.get(route.name) ?? [], deadlineMs);
  }

  /** Notes the deadline that a caller gave. */
  recordDeadline(route: RouteIdentity, deadlineMs: number): void {
    const samples = this.samples.get(route.name) ?? [];
    samples.push(deadlineMs);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.samples.set(route.name, samples);
  }
}

// Before some were seen nothing is known of what is usual: callers may differ by a sixth
// of their time, which is more than many objectives. Taken for the time since a first
// attempt, it made one of five requests late before it had begun (61 instances that see
// some 40 requests of a route each).
function computeAge(samples: readonly number[], deadlineMs: number): number {
  if (samples.length < MIN_SAMPLES) return 0;
  const usualMs = Math.max(...samples);
  const isUsual = (sample: number) =>
    sample >= usualMs * (1 - DEADLINE_TOLERANCE);
  const usualCount = samples.filter(isUsual).length;
  const areAlike = usualCount >= MIN_USUAL_SHARE * samples.length;
  if (!areAlike || isUsual(deadlineMs)) return 0;
  return usualMs - deadlineMs;
}
