import {getErrorAnswer, type ErrorAnswer} from './answers.ts';
import type {ErrorKind, RunStatus} from './kinds.ts';

/** Particulars of one error that go beyond its kind. */
export interface ErrorDetails {
  /** Overrides the table's word on whether the request ran. */
  readonly ran?: RunStatus;
  /** Overrides the table's time to come back, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** The one error class of hollowstack; its kind decides the answer. */
export class HollowstackError extends Error {
  readonly kind: ErrorKind;
  readonly ran: RunStatus;
  readonly retryAfterMs: number | undefined;

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, {cause: details.cause});
    this.name = 'HollowstackError';
    this.kind = kind;
    this.ran = details.ran ?? this.getAnswer().ran;
    this.retryAfterMs = details.retryAfterMs ?? this.getAnswer().retryAfterMs;
  }

  /** Returns the row of the table for this error's kind. */
  getAnswer(): ErrorAnswer {
    return getErrorAnswer(this.kind);
  }
}

/** Wraps anything thrown; what is not ours becomes `internal`. */
export function toHollowstackError(thrown: unknown): HollowstackError {
  if (thrown instanceof HollowstackError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new HollowstackError('internal', message, {cause: thrown});
}
