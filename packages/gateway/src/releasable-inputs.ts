import {HollowstackError} from '@hollowstack/errors';
import type {AttemptInputs} from './attempt.ts';
import type {RoutedRequest} from './routed-request.ts';

/** Milliseconds after which to come back where no upstream is left. */
export const UNAVAILABLE_RETRY_AFTER_MS = 300;

/** Inputs of an attempt that know whether they were released. */
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

/** The next attempt needs stage results that are gone, and may be made. */
export class InputsLostError extends HollowstackError {
  constructor(reason: string, request: RoutedRequest) {
    super('upstream-unavailable', reason, {
      ran: request.getRan(),
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
    });
  }
}
