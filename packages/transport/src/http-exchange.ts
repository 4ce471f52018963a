import {HollowstackError} from '@hollowstack/errors';

/** Header values by lower-case name. */
export type HttpHeaders = Readonly<Record<string, string>>;

/** An HTTP request, to be sent or received. */
export interface HttpRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Aborts once the caller no longer needs the answer. */
  readonly signal: AbortSignal;
}

/** An HTTP answer; its body may not have arrived yet. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Handles one request and resolves to its answer. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** `none` if no byte of a request was sent; `some` if a byte may have been sent. */
export type SendProgress = 'none' | 'some';

/** A request got no answer, or its answer broke off. */
export class TransportError extends Error {
  readonly progress: SendProgress;

  constructor(message: string, progress: SendProgress, cause?: unknown) {
    super(message, {cause});
    this.name = 'TransportError';
    this.progress = progress;
  }
}

/** A connection was closed before any byte was sent on it. */
export class UnusedConnectionError extends TransportError {
  constructor() {
    super('the connection was closed before it was used', 'none');
    this.name = 'UnusedConnectionError';
  }
}

/** Sends requests to an address. */
export abstract class HttpClient {
  /**
   * Sends one request and resolves once the answer's head has arrived.
   *
   * @param address IP address and port.
   * @throws TransportError if no answer arrives; its `progress` says whether a byte may have been sent.
   */
  abstract send(address: string, request: HttpRequest): Promise<HttpResponse>;
}

/** Creates a body from a text in UTF-8. */
export async function* createTextBody(
  text: string,
): AsyncGenerator<Uint8Array> {
  yield Buffer.from(text, 'utf8');
}

/** Creates an answer with a JSON body. */
export function createJsonResponse(
  status: number,
  value: unknown,
  headers: HttpHeaders = {},
): HttpResponse {
  return {
    status,
    headers: {'content-type': 'application/json', ...headers},
    body: createTextBody(JSON.stringify(value)),
  };
}

/**
 * Reads a body to its end.
 *
 * @param limitBytes Maximum size.
 * @throws HollowstackError `payload-too-large` if the body exceeds the limit.
 */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  limitBytes = 64 * 1024 * 1024,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > limitBytes) {
      throw new HollowstackError(
        'payload-too-large',
        `the body is over ${limitBytes} bytes`,
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads the body of an answer as JSON, up to the default limit of `readBody`. */
export async function readJson(response: HttpResponse): Promise<unknown> {
  const body = await readBody(response.body);
  return JSON.parse(body.toString('utf8'));
}

/** Sends a POST request with a JSON body. */
export function sendJson(
  client: HttpClient,
  address: string,
  path: string,
  value: unknown,
  signal: AbortSignal,
  headers: HttpHeaders = {},
): Promise<HttpResponse> {
  return client.send(address, {
    method: 'POST',
    path,
    headers: {'content-type': 'application/json', ...headers},
    body: Buffer.from(JSON.stringify(value)),
    signal,
  });
}
