/** A period in which an upstream accepts no work, and the slow start after it. */
export interface BackOff {
  /** End of the period, in milliseconds of the monotonic clock. */
  readonly untilMs: number;
  /** Step of the slow start in which a request was last sent. */
  readonly step: number;
  /** Requests sent in that step. */
  readonly sentCount: number;
}

/**
 * Duration of a step of the slow start. An upstream that still refuses work answers within
 * some milliseconds plus a round trip, so the refusals of a step arrive before the next one
 * begins. The shortest latency objectives are a few steps long.
 */
const STEP_MS = 100;
/** Requests that one instance may send in the first step; doubled in each further step. */
const FIRST_STEP_SENDS = 2;
/** Steps until sends are unlimited; about sixty requests are let through by then. */
const STEP_COUNT = 5;

/**
 * Returns the state after an upstream requested a back-off. A shorter period does not end a
 * longer one, because the upstream requested both.
 *
 * @param durationMs Milliseconds from now.
 */
export function recordBackOff(
  known: BackOff | undefined,
  durationMs: number,
  nowMs: number,
): BackOff {
  const untilMs = Math.max(known?.untilMs ?? 0, nowMs + durationMs);
  return {untilMs, step: 0, sentCount: 0};
}

/**
 * Returns whether a request may be sent to the upstream now. At the end of the back-off, the
 * held-back requests of all instances would arrive at once, so each instance begins with few
 * and doubles them in each step, until the upstream requests another back-off.
 */
export function maySend(backOff: BackOff, nowMs: number): boolean {
  if (nowMs < backOff.untilMs) return false;
  const step = computeStep(backOff, nowMs);
  const sentCount = step === backOff.step ? backOff.sentCount : 0;
  return sentCount < FIRST_STEP_SENDS * 2 ** step;
}

/** Returns the state after a request was sent. */
export function recordSend(backOff: BackOff, nowMs: number): BackOff {
  const step = computeStep(backOff, nowMs);
  const sentCount = step === backOff.step ? backOff.sentCount : 0;
  return {...backOff, step, sentCount: sentCount + 1};
}

/** Returns whether the back-off and its slow start are over. */
export function isOver(backOff: BackOff, nowMs: number): boolean {
  return nowMs >= backOff.untilMs && computeStep(backOff, nowMs) >= STEP_COUNT;
}

function computeStep({untilMs}: BackOff, nowMs: number): number {
  return Math.floor((nowMs - untilMs) / STEP_MS);
}
