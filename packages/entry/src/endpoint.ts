import type {HttpRequest, HttpResponse} from '@hollowstack/transport';

/** One request with what the front knows of it. */
export interface EndpointRequest {
  readonly http: HttpRequest;
  readonly requestId: string;
  /** Parts of the path, decoded, without its query. */
  readonly segments: readonly string[];
  /** Milliseconds since the epoch. */
  readonly arrivedAtMs: number;
}

/** Answers the requests below one path. */
export abstract class Endpoint {
  /** Returns whether the request is this endpoint's. */
  abstract isFor(request: EndpointRequest): boolean;

  /** Answers the request. @throws HollowstackError that becomes a problem. */
  abstract handle(request: EndpointRequest): Promise<HttpResponse>;
}
