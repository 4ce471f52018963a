import {createProblem, type HollowstackError} from '@hollowstack/errors';
import {
  createTextBody,
  type HttpHeaders,
  type HttpResponse,
} from '@hollowstack/transport';

/** Response header that carries the request id. */
export const REQUEST_ID_HEADER = 'hollowstack-request-id';

/** Creates the problem response of an error, with `retry-after` if the error names a time. */
export function createProblemResponse(
  error: HollowstackError,
  requestId: string,
): HttpResponse {
  return {
    status: error.getAnswer().status,
    headers: {
      'content-type': 'application/problem+json',
      [REQUEST_ID_HEADER]: requestId,
      ...createRetryHeader(error.retryAfterMs),
    },
    body: createTextBody(JSON.stringify(createProblem(error, requestId))),
  };
}

// The header has whole seconds; the body has milliseconds.
function createRetryHeader(retryAfterMs: number | undefined): HttpHeaders {
  if (retryAfterMs === undefined) return {};
  return {'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000)))};
}
