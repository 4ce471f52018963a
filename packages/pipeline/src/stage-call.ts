import type {HttpResponse} from '@hollowstack/transport';
import type {UpstreamCall} from './attempt.ts';

/** The work of one stage as upstream calls; a failed one may be followed by another. */
export abstract class StageCall {
  /** Creates the call for the next attempt; progress of earlier ones counts. */
  abstract createCall(): UpstreamCall;

  /** Reads the answer to its end. @throws AttemptError where it is not whole. */
  abstract readResponse(response: HttpResponse): Promise<void>;

  /** Returns the size of the work that is left, in units of one expected request. */
  abstract getRemainingUnits(): number;

  /** Returns the model that the upstream must hold; undefined for any. */
  getModel(): string | undefined {
    return undefined;
  }

  /** Returns the text whose prefix the upstream may have cached. */
  getPrompt(): string | undefined {
    return undefined;
  }
}
