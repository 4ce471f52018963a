import {HollowstackError} from '@hollowstack/errors';

/** Header names in small letters, with their values. */
export type HttpHeaders = Readonly<Record<string, string>>;

/** A request as its handler sees it. */
export interface HttpRequest {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Aborts once the other side no longer wants the answer. */
  readonly signal: AbortSignal;
}

/** An answer; its body may still be on its way. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Answers one request. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** How far a request got: `none` promises that no byte of it has left. */
export type SendProgress = 'none' | 'some';

/** A request that brought no answer, or an answer that broke off. */
export class TransportError extends Error {
  readonly progress: SendProgress;

  constructor(message: string, progress: SendProgress, cause?: unknown) {
    super(message, {cause});
    this.name = 'TransportError';
    this.progress = progress;
  }
}

/** Sends requests to an address. */
export abstract class HttpClient {
  /**
   * Sends one request and resolves once the answer's head is there.
   *
   * @param address IP number and port.
   * @throws TransportError where no answer came; its `progress` says whether a byte may have left.
   */
  abstract send(address: string, request: HttpRequest): Promise<HttpResponse>;
}

/** Creates a body of one text. */
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
 * Reads a whole body.
 *
 * @param limitBytes Most bytes to take.
 * @throws HollowstackError `payload-too-large` over the limit.
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

/** Reads a whole body as JSON. */
export async function readJson(response: HttpResponse): Promise<unknown> {
  const body = await readBody(response.body);
  return JSON.parse(body.toString('utf8'));
}

/** Sends a POST with a JSON body. */
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
