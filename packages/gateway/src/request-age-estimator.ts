import type {Route} from '@hollowstack/routes';

/** Number of recent deadlines stored for each route. */
const MAX_SAMPLES = 16;
/** Number of deadlines of a route below which no age is estimated. */
const MIN_SAMPLES = 8;
/**
 * Share by which a deadline may fall short of the usual one and still count as a first
 * attempt's; callers of one kind differ by less than a percent.
 */
const DEADLINE_TOLERANCE = 0.02;
/** Minimum share of usual samples; below it, first attempts have no common deadline. */
const MIN_USUAL_SHARE = 0.5;
/** The route whose deadlines are compared. */
export type RouteIdentity = Pick<Route, 'name'>;

/**
 * Estimates how long ago a caller made its first attempt. A retry states the time that is
 * left, which is less than the usual deadline of first attempts on the same route, and its
 * objective counts from the first attempt. So requests that can no longer be in time do
 * not delay those that can, for example after the loss of all instances, when callers
 * with broken connections retry.
 */
export class RequestAgeEstimator {
  private readonly samples = new Map<string, number[]>();

  /**
   * Computes the time since the caller's first attempt.
   *
   * @param deadlineMs Milliseconds that the caller still waits.
   * @returns Milliseconds; 0 if nothing indicates an earlier attempt.
   */
  computeAgeMs(route: RouteIdentity, deadlineMs: number): number {
    return computeAge(this.samples.get(route.name) ?? [], deadlineMs);
  }

  /** Records the deadline of a request, in milliseconds. */
  recordDeadline(route: RouteIdentity, deadlineMs: number): void {
    const samples = this.samples.get(route.name) ?? [];
    samples.push(deadlineMs);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.samples.set(route.name, samples);
  }
}

// With few samples the usual deadline is unknown: deadlines of first attempts may differ by
// a sixth, which is more than many objectives. Taking that difference for an age made one
// of five requests late before it began (61 instances, each with some 40 requests of a
// route).
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
