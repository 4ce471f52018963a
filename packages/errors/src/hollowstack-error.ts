import {getErrorAnswer, type ErrorAnswer} from './answers.ts';
import type {ErrorKind, RunStatus} from './kinds.ts';

/** Values that override the defaults of an error's kind. */
export interface ErrorDetails {
  /** Overrides whether the request ran. */
  readonly ran?: RunStatus;
  /** Overrides the time after which to retry, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Error with a kind that determines the answer to the caller. */
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

  /** Returns the default answer for this error's kind. */
  getAnswer(): ErrorAnswer {
    return getErrorAnswer(this.kind);
  }
}

/** Returns a HollowstackError as it is and wraps any other thrown value as `internal`. */
export function toHollowstackError(thrown: unknown): HollowstackError {
  if (thrown instanceof HollowstackError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new HollowstackError('internal', message, {cause: thrown});
}
