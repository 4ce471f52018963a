import {HollowstackError} from '@hollowstack/errors';
import {
  STATUS_CODES,
  validateHeaderValue,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {listEndToEndHeaders} from './header-list.ts';
import type {RequestProtocol} from './request-protocol.ts';

const NO_HEADERS: ReadonlySet<string> = new Set();
const LENGTH_HEADER: ReadonlySet<string> = new Set(['content-length']);
/** Milliseconds in `Retry-After` if the error does not specify a delay. */
const DEFAULT_RETRY_AFTER_MS = 500;

/** Characters that no reason phrase may hold. */
const INVALID_REASON = /[^\t\x20-\x7e\x80-\xff]/;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;

/**
 * Returns why the head of an answer cannot be passed on; undefined if it can. The parser accepts
 * more than may be written.
 */
export function findHeadProblem({
  statusCode = 0,
  statusMessage = '',
  rawHeaders,
}: Pick<IncomingMessage, 'statusCode' | 'statusMessage' | 'rawHeaders'>):
  string | undefined {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS) {
    return `the answer has status ${statusCode}`;
  }
  if (INVALID_REASON.test(statusMessage)) {
    return 'the reason phrase of the answer holds invalid characters';
  }
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    try {
      validateHeaderValue(name, rawHeaders[index + 1]);
    } catch {
      return `the header ${name} of the answer holds invalid characters`;
    }
  }
  return undefined;
}

/** Returns whether only the end of the connection marks the end of an answer. */
export function isCloseDelimited(head: IncomingMessage): boolean {
  return (
    head.headers['content-length'] === undefined &&
    head.headers['transfer-encoding'] === undefined
  );
}

/**
 * Writes the status and headers of an upstream's answer; the body is streamed afterwards. One
 * without a length is sent in chunks: the system ends the connections of a killed process in
 * order, so the end of the connection would not show that the answer broke off.
 */
export function writeUpstreamHead(
  outgoing: ServerResponse,
  head: IncomingMessage,
): void {
  const headers = listEndToEndHeaders(head.rawHeaders, NO_HEADERS);
  outgoing.writeHead(head.statusCode!, head.statusMessage, headers);
}

/** Writes a complete answer of an upstream. */
export function writeUpstreamAnswer(
  outgoing: ServerResponse,
  head: IncomingMessage,
  body: Buffer,
): void {
  const headers = listEndToEndHeaders(head.rawHeaders, LENGTH_HEADER);
  const status = head.statusCode!;
  const mayHaveBody = status !== 204 && status !== 304;
  const statedLength = head.headers['content-length'];
  if (outgoing.req.method === 'HEAD') {
    if (statedLength !== undefined)
      headers.push('Content-Length', statedLength);
  } else if (statedLength !== undefined || mayHaveBody) {
    headers.push('Content-Length', `${body.length}`);
  }
  outgoing.writeHead(status, head.statusMessage, headers);
  outgoing.end(body);
}

/**
 * Ends an answer that has begun and is not complete. One that ends with its connection, as a
 * caller of HTTP/1.0 gets it, is reset, since an orderly end would make it look complete.
 */
export function cancelAnswer(outgoing: ServerResponse): void {
  const {socket, useChunkedEncodingByDefault: isFramed} = outgoing;
  if (isFramed || !socket || socket.writableEnded) outgoing.destroy();
  else socket.resetAndDestroy();
}

/**
 * Answers a request with an error of this instance. Statuses that imply that the request
 * was not run are used only if that is known. If the answer has already begun, the
 * connection is closed instead.
 */
export function writeError(
  outgoing: ServerResponse,
  error: HollowstackError,
  requestId: string | undefined,
  protocol: RequestProtocol,
): void {
  if (outgoing.destroyed) return;
  if (outgoing.headersSent) {
    cancelAnswer(outgoing);
    return;
  }
  const status = chooseStatus(error);
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
  };
  if (requestId !== undefined) headers[protocol.headers.requestId] = requestId;
  if (status === 503 && error.kind !== 'request-quarantined') {
    const retryAfterMs = error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    headers['retry-after'] = (retryAfterMs / 1000).toFixed(2);
  }
  const body = JSON.stringify({
    kind: error.kind,
    status,
    detail: error.message,
    ran: error.ran,
    requestId,
    action: error.getAnswer().action,
  });
  // The reason phrase is given, since a failed attempt to write a head may have left another.
  outgoing.writeHead(status, STATUS_CODES[status] ?? '', {
    ...headers,
    'content-length': Buffer.byteLength(body),
  });
  outgoing.end(body);
}

function chooseStatus(error: HollowstackError): number {
  if (error.ran !== 'no') return error.kind === 'deadline-exceeded' ? 504 : 502;
  const {status} = error.getAnswer();
  return status >= 400 && status < 500 && status !== 429 && status !== 408
    ? status
    : 503;
}
