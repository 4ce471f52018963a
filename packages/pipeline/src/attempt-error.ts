/**
 * How an attempt failed.
 * refused: no connection; not-run: the upstream says it did not run it;
 * silent: no byte for too long; crossed: another request's answer;
 * broken: failed or broke off; given-up: this side stopped it.
 */
export type AttemptFailure =
  'refused' | 'not-run' | 'silent' | 'crossed' | 'broken' | 'given-up';

/** What else is known of a failed attempt. */
export interface AttemptErrorOptions {
  readonly cause?: unknown;
  /** Whether no byte of the call has left this instance. */
  readonly isUnsent?: boolean;
  readonly retryAfterMs?: number;
}

/** An attempt at an upstream that brought no whole answer. */
export class AttemptError extends Error {
  readonly failure: AttemptFailure;
  /** Milliseconds for which the upstream wants no work; undefined where it named none. */
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

  /** Whether the upstream may have begun the work. */
  mayHaveRun(): boolean {
    if (this.isUnsent) return false;
    return this.failure !== 'refused' && this.failure !== 'not-run';
  }
}
