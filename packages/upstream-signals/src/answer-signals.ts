import type {IncomingMessage} from 'node:http';

/** Status and headers of an answer; header names in small letters. */
export interface AnswerHead {
  /** HTTP status. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Returns the head of an answer as Node's client gives it. */
export function toAnswerHead(head: IncomingMessage): AnswerHead {
  return {status: head.statusCode ?? 0, headers: head.headers};
}

/** What an answer tells of an upstream beside what was asked. */
export interface AnswerSignals {
  /** Whether another upstream gave the answer than the one that was called. */
  readonly isFromOtherUpstream: boolean;
  /** Whether the upstream says that it leaves. */
  readonly isLeaving: boolean;
  /**
   * How long the upstream wants no work, as it wrote it (HTTP `Retry-After`);
   * undefined where it turned nothing away or named no time.
   */
  readonly retryAfter: string | undefined;
  /**
   * Advertised rate limit in requests per second across all instances, unparsed;
   * undefined if the answer advertises none.
   */
  readonly limit: string | undefined;
}

/** Finds the signals in an answer; an adapter knows their names. */
export abstract class SignalProtocol {
  /** @param upstreamId Id of the upstream that was called. */
  abstract readSignals(head: AnswerHead, upstreamId: string): AnswerSignals;
}
