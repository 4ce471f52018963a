/** A time for which an upstream wants no work, and the slow start behind it. */
export interface BackOff {
  /** End of the time, in milliseconds of the steady clock. */
  readonly untilMs: number;
  /** Step of the slow start in which work was last sent. */
  readonly step: number;
  /** Pieces of work sent in that step. */
  readonly sentCount: number;
}

/**
 * Milliseconds of a step of the slow start. An upstream that still turns work away
 * answers within some milliseconds and a round trip, so a step's refusals are there
 * before the next one; the shortest objectives are a few steps long.
 */
const STEP_MS = 100;
/** Pieces of work that one instance may send in the first step; doubled in each one. */
const FIRST_STEP_SENDS = 2;
/** Steps until an upstream gets whatever there is: some sixty pieces were let through. */
const STEP_COUNT = 5;

/**
 * Returns the state after an upstream asked for no work. A shorter time does not end
 * one that is longer: both were asked for.
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
 * Returns whether work may go to the upstream now. When its time is over all that was
 * kept from it would come at once, from every instance; so each of them begins with
 * little and doubles it step by step, unless the upstream asks anew.
 */
export function maySend(backOff: BackOff, nowMs: number): boolean {
  if (nowMs < backOff.untilMs) return false;
  const step = computeStep(backOff, nowMs);
  const sentCount = step === backOff.step ? backOff.sentCount : 0;
  return sentCount < FIRST_STEP_SENDS * 2 ** step;
}

/** Returns the state after work was sent. */
export function recordSend(backOff: BackOff, nowMs: number): BackOff {
  const step = computeStep(backOff, nowMs);
  const sentCount = step === backOff.step ? backOff.sentCount : 0;
  return {...backOff, step, sentCount: sentCount + 1};
}

/** Returns whether the upstream is treated like any other again. */
export function isOver(backOff: BackOff, nowMs: number): boolean {
  return nowMs >= backOff.untilMs && computeStep(backOff, nowMs) >= STEP_COUNT;
}

function computeStep({untilMs}: BackOff, nowMs: number): number {
  return Math.floor((nowMs - untilMs) / STEP_MS);
}
