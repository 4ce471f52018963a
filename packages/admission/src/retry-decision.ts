/** What is known about a failed attempt and the time left. */
export interface RetryInput {
  /** Attempts made so far, the failed one counted. */
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Whether the upstream may have begun the work. */
  readonly mayHaveRun: boolean;
  /** Whether the work may be done a second time. */
  readonly isRepeatable: boolean;
  readonly leftMs: number;
  /** Predicted milliseconds of another attempt. */
  readonly predictedMs: number;
}

/** Why a failed attempt is or is not followed by another. */
export type RetryVerdict =
  'retry' | 'not-repeatable' | 'attempts-used-up' | 'no-time-left';

// An attempt that did not run has cost nobody anything. When a failure domain
// is lost, the first choices are often all among the lost.
const MAX_NOT_RUN_ATTEMPTS = 6;

/** Judges whether another attempt may be made; the retry budget is asked after this. */
export function judgeRetry(input: RetryInput): RetryVerdict {
  if (input.mayHaveRun && !input.isRepeatable) return 'not-repeatable';
  const maxAttempts = input.mayHaveRun
    ? input.maxAttempts
    : Math.max(input.maxAttempts, MAX_NOT_RUN_ATTEMPTS);
  if (input.attempts >= maxAttempts) return 'attempts-used-up';
  if (input.predictedMs > input.leftMs) return 'no-time-left';
  return 'retry';
}
