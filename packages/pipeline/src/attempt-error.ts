/**
 * How an attempt failed.
 * refused: no connection was established;
 * not-run: the upstream reports that it did not run the call;
 * silent: the upstream showed no activity within the timeout;
 * crossed: the response belongs to another attempt;
 * broken: the upstream failed, or the response was cut off or unreadable;
 * given-up: this instance cancelled the attempt.
 */
export type AttemptFailure =
  'refused' | 'not-run' | 'silent' | 'crossed' | 'broken' | 'given-up';

/** Optional details of a failed attempt. */
export interface AttemptErrorOptions {
  readonly cause?: unknown;
  /** Whether this instance sent no byte of the call. */
  readonly isUnsent?: boolean;
  readonly retryAfterMs?: number;
}

/** Failure of an attempt that got no complete response from an upstream. */
export class AttemptError extends Error {
  readonly failure: AttemptFailure;
  /** Back-off in milliseconds that the upstream asked for; undefined if it named none. */
  readonly retryAfterMs: number | undefined;
  private readonly isUnsent: boolean;

  constructor(
    failure: AttemptFailure,
    message: string,
    {cause, isUnsent = false, retryAfterMs}: AttemptErrorOptions = {},
  ) {
    super(message, {cause});
    this.name = 'AttemptError';
    this.failure = failure;
    this.isUnsent = isUnsent;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns whether the upstream may have begun the work. */
  mayHaveRun(): boolean {
    if (this.isUnsent) return false;
    return this.failure !== 'refused' && this.failure !== 'not-run';
  }
}
