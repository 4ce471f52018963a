import {HollowstackError} from '@hollowstack/errors';
import {UNAVAILABLE_RETRY_AFTER_MS} from './releasable-inputs.ts';
import type {RoutedRequest} from './routed-request.ts';

/**
 * Creates the error of a request for which no upstream is available.
 *
 * @param retryAfterMs Milliseconds after which the caller may retry; left out of the error if
 * the request may have run.
 */
export function createUnavailableError(
  request: RoutedRequest,
  reason: string,
  retryAfterMs = UNAVAILABLE_RETRY_AFTER_MS,
): HollowstackError {
  const ran = request.getRunStatus();
  return new HollowstackError(
    ran === 'no' ? 'upstream-unavailable' : 'upstream-failed',
    reason,
    {ran, retryAfterMs: ran === 'no' ? retryAfterMs : undefined},
  );
}
