import type {HttpRequest, HttpResponse} from '@hollowstack/transport';

/** An HTTP request with its id, path segments and time of arrival. */
export interface EndpointRequest {
  readonly http: HttpRequest;
  readonly requestId: string;
  /** Decoded segments of the path, without the query. */
  readonly segments: readonly string[];
  /** Milliseconds since the epoch. */
  readonly arrivedAtMs: number;
}

/** Answers the requests of a group of paths. */
export abstract class Endpoint {
  /** Returns whether this endpoint answers the request. */
  abstract isFor(request: EndpointRequest): boolean;

  /** Answers the request. @throws HollowstackError, which is sent as a problem response. */
  abstract handle(request: EndpointRequest): Promise<HttpResponse>;
}
