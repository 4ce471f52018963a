import type {Clock} from '@hollowstack/clock';
import {HollowstackError, toHollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {HttpRequest, HttpResponse} from '@hollowstack/transport';
import type {Endpoint, EndpointRequest} from './endpoint.ts';
import type {Lifecycle} from './lifecycle.ts';
import {createProblemResponse} from './problem-response.ts';
import type {RequestIds} from './request-ids.ts';

/** Dependencies of the dispatcher. */
export interface RequestDispatcherParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly lifecycle: Lifecycle;
  readonly requestIds: RequestIds;
  readonly endpoints: readonly Endpoint[];
}

/** Passes each request to its endpoint and turns thrown errors into problem responses. */
export class RequestDispatcher {
  private readonly parts: RequestDispatcherParts;

  constructor(parts: RequestDispatcherParts) {
    this.parts = parts;
  }

  /** Answers a request; never rejects. */
  async handle(http: HttpRequest): Promise<HttpResponse> {
    const {clock, lifecycle, requestIds} = this.parts;
    const requestId = requestIds.createId();
    const endRequest = lifecycle.beginRequest();
    try {
      const request: EndpointRequest = {
        http,
        requestId,
        segments: splitPath(http.path),
        arrivedAtMs: clock.getNow(),
      };
      const response = await this.findEndpoint(request).handle(request);
      return this.finishResponse(response, endRequest);
    } catch (thrown) {
      const error = toHollowstackError(thrown);
      this.logError(error, requestId);
      const response = createProblemResponse(error, requestId);
      return this.finishResponse(response, endRequest);
    }
  }

  private findEndpoint(request: EndpointRequest): Endpoint {
    const endpoint = this.parts.endpoints.find(candidate =>
      candidate.isFor(request),
    );
    if (endpoint) return endpoint;
    const {method, path} = request.http;
    throw new HollowstackError('not-found', `no such call: ${method} ${path}`);
  }

  // A request ends when the last byte of its response has been sent. Unless the
  // instance is ready, responses close their connection, so that the caller's
  // next request goes to another instance.
  private finishResponse(
    response: HttpResponse,
    endRequest: () => void,
  ): HttpResponse {
    const isStopping = this.parts.lifecycle.getState() !== 'ready';
    const headers = isStopping
      ? {...response.headers, connection: 'close'}
      : response.headers;
    return {...response, headers, body: followToEnd(response.body, endRequest)};
  }

  private logError(error: HollowstackError, requestId: string): void {
    const event =
      error.kind === 'internal'
        ? 'request.internal'
        : error.ran === 'no'
          ? 'request.refused'
          : 'request.failed';
    this.parts.logger.logEvent(event, {
      requestId,
      kind: error.kind,
      ran: error.ran,
      reason: error.message,
      stack: error.kind === 'internal' ? error.stack : undefined,
    });
  }
}

function splitPath(path: string): string[] {
  const [pathname] = path.split('?', 1);
  try {
    return pathname.split('/').slice(1).map(decodeURIComponent);
  } catch {
    throw new HollowstackError('bad-request', 'the path cannot be decoded');
  }
}

async function* followToEnd(
  body: AsyncIterable<Uint8Array>,
  handleEnd: () => void,
): AsyncGenerator<Uint8Array> {
  try {
    yield* body;
  } finally {
    handleEnd();
  }
}
