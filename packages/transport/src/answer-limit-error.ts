import {TransportError} from './http-exchange.ts';

/**
 * The limit that an answer exceeded. `head`: bytes before the end of its head; `framing`: bytes
 * that frame its body; `body`: its size; `event`: the size of one event of a stream; `instance`:
 * the memory of this instance for all messages, which says nothing about the upstream.
 */
export type AnswerLimit = 'head' | 'framing' | 'body' | 'event' | 'instance';

/** An answer exceeded a limit and is not read to its end. */
export class AnswerLimitError extends TransportError {
  readonly limit: AnswerLimit;

  constructor(limit: AnswerLimit, message: string) {
    super(message, 'some');
    this.name = 'AnswerLimitError';
    this.limit = limit;
  }
}

/** Returns the limit whose excess caused an error; undefined if none did. */
export function findExceededLimit(error: unknown): AnswerLimit | undefined {
  if (error instanceof AnswerLimitError) return error.limit;
  return error instanceof Error ? findExceededLimit(error.cause) : undefined;
}
