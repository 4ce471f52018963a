import {HollowstackError} from '@hollowstack/errors';
import type {AttemptInputs} from './attempt.ts';
import type {RoutedRequest} from './routed-request.ts';

/** Milliseconds after which a caller may retry if no upstream is left. */
export const UNAVAILABLE_RETRY_AFTER_MS = 300;

/** Inputs of an attempt that are released at most once and record that they were. */
export class ReleasableInputs implements AttemptInputs {
  readonly header: string;
  isReleased = false;
  private readonly releaseResults: () => void;

  constructor(header: string, releaseResults: () => void) {
    this.header = header;
    this.releaseResults = releaseResults;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.releaseResults();
  }
}

/** Another attempt is allowed, but its stage results are lost and must be recomputed. */
export class InputsLostError extends HollowstackError {
  constructor(reason: string, request: RoutedRequest) {
    super('upstream-unavailable', reason, {
      ran: request.getRunStatus(),
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
    });
  }
}
