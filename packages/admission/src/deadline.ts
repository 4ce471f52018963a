/** Input of the deadline check of a request. */
export interface DeadlineInput {
  readonly nowMs: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
  /** Predicted milliseconds until a slot is free. */
  readonly waitMs: number;
  /** Predicted milliseconds of the current stage and those after it. */
  readonly remainingMs: number;
  /**
   * Share of the predicted time that must fit before the deadline; a share below 1 allows
   * for requests that take less time than predicted.
   */
  readonly requiredShare: number;
}

/** Whether the deadline can be met, with the figures behind the verdict. */
export interface DeadlineVerdict {
  readonly isReachable: boolean;
  readonly leftMs: number;
  readonly neededMs: number;
  /** Milliseconds after which the caller should retry. */
  readonly retryAfterMs: number;
}

/** Minimum delay before a refused caller retries; an earlier retry would be refused again. */
const MIN_RETRY_MS = 100;

/** Judges whether a request can still be answered before its deadline. */
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
