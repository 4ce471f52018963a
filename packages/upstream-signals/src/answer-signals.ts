import type {IncomingMessage} from 'node:http';

/** Status and headers of an answer; header names are in lower case. */
export interface AnswerHead {
  /** HTTP status. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Converts a response of Node's HTTP client. */
export function toAnswerHead(head: IncomingMessage): AnswerHead {
  return {status: head.statusCode ?? 0, headers: head.headers};
}

/** What an answer signals about its upstream, in addition to the result. */
export interface AnswerSignals {
  /** Whether the answer is from another upstream than the one that was called. */
  readonly isFromOtherUpstream: boolean;
  /** Whether the upstream announces that it shuts down. */
  readonly isLeaving: boolean;
  /**
   * Requested back-off: the unparsed value of HTTP `Retry-After`; undefined if the upstream
   * did not refuse the request or named no time.
   */
  readonly retryAfter: string | undefined;
  /**
   * Advertised rate limit in requests per second across all instances, unparsed;
   * undefined if the answer advertises none.
   */
  readonly limit: string | undefined;
  /**
   * Rejections per second for want of a place beyond which the upstream fails, unparsed;
   * undefined if the answer announces none.
   */
  readonly tolerance: string | undefined;
  /** Whether the upstream rejected the request for want of a place. */
  readonly isFull: boolean;
}

/** Reads the signals of an answer; implemented by the adapter that knows the header names. */
export abstract class SignalProtocol {
  /** @param upstreamId Id of the upstream that was called. */
  abstract readSignals(head: AnswerHead, upstreamId: string): AnswerSignals;
}
