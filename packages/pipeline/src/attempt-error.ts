/**
 * How an attempt failed.
 * refused: no connection; not-run: the upstream says it did not run it;
 * silent: no byte for too long; crossed: another request's answer;
 * broken: failed or broke off; given-up: this side stopped it.
 */
export type AttemptFailure =
  'refused' | 'not-run' | 'silent' | 'crossed' | 'broken' | 'given-up';

/** An attempt at an upstream that brought no whole answer. */
export class AttemptError extends Error {
  readonly failure: AttemptFailure;
  private readonly neverLeft: boolean;

  /** @param neverLeft Whether no byte of the call has left this instance. */
  constructor(
    failure: AttemptFailure,
    message: string,
    cause?: unknown,
    neverLeft = false,
  ) {
    super(message, {cause});
    this.name = 'AttemptError';
    this.failure = failure;
    this.neverLeft = neverLeft;
  }

  /** Whether the upstream may have begun the work. */
  mayHaveRun(): boolean {
    if (this.neverLeft) return false;
    return this.failure !== 'refused' && this.failure !== 'not-run';
  }
}
