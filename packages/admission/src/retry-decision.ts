/** Input of the retry decision after a failed attempt. */
export interface RetryInput {
  /** Attempts made so far, including the failed one. */
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Whether the upstream may have begun the work. */
  readonly mayHaveRun: boolean;
  /** Whether the work may run a second time. */
  readonly isRepeatable: boolean;
  readonly leftMs: number;
  /** Predicted milliseconds of another attempt. */
  readonly predictedMs: number;
}

/** Whether a failed attempt is retried, or why it is not. */
export type RetryVerdict =
  'retry' | 'not-repeatable' | 'attempts-used-up' | 'no-time-left';

// Attempts that did not run use no upstream capacity. When a failure domain is
// lost, the first upstreams chosen are often all in that domain.
const MAX_NOT_RUN_ATTEMPTS = 6;

/** Judges whether another attempt may be made; the caller checks the retry budget afterwards. */
export function judgeRetry(input: RetryInput): RetryVerdict {
  if (input.mayHaveRun && !input.isRepeatable) return 'not-repeatable';
  const maxAttempts = input.mayHaveRun
    ? input.maxAttempts
    : Math.max(input.maxAttempts, MAX_NOT_RUN_ATTEMPTS);
  if (input.attempts >= maxAttempts) return 'attempts-used-up';
  if (input.predictedMs > input.leftMs) return 'no-time-left';
  return 'retry';
}
