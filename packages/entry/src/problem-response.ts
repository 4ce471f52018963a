import {createProblem, type HollowstackError} from '@hollowstack/errors';
import {
  createTextBody,
  type HttpHeaders,
  type HttpResponse,
} from '@hollowstack/transport';

/** Header that every answer carries. */
export const REQUEST_ID_HEADER = 'hollowstack-request-id';

/** Creates the answer for an error; a refusal says when to come back. */
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

// The header counts whole seconds; the body says it to the millisecond.
function createRetryHeader(retryAfterMs: number | undefined): HttpHeaders {
  if (retryAfterMs === undefined) return {};
  return {'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000)))};
}
