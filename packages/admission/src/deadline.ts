/** What is known about a request's chances. */
export interface DeadlineInput {
  readonly nowMs: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
  /** Predicted milliseconds until a place is free. */
  readonly waitMs: number;
  /** Predicted milliseconds of the stage at hand and those behind it. */
  readonly remainingMs: number;
  /** Share of the prediction that has to fit; under 1 gives the benefit of the doubt. */
  readonly requiredShare: number;
}

/** Whether to go on, and the figures it rests on. */
export interface DeadlineVerdict {
  readonly isReachable: boolean;
  readonly leftMs: number;
  readonly neededMs: number;
  /** Milliseconds after which a try has better chances. */
  readonly retryAfterMs: number;
}

/**
 * Milliseconds that a refused caller stays away, at least; sooner would only
 * repeat the refusal.
 */
const MIN_RETRY_MS = 100;

/** Judges whether a request can still be answered in its deadline. */
export function judgeDeadline(input: DeadlineInput): DeadlineVerdict {
  const leftMs = input.deadlineMs - input.nowMs;
  const neededMs = (input.waitMs + input.remainingMs) * input.requiredShare;
  return {
    isReachable: leftMs > 0 && neededMs <= leftMs,
    leftMs,
    neededMs,
    retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(input.waitMs)),
  };
}
