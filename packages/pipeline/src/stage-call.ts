import type {HttpResponse} from '@hollowstack/transport';
import type {UpstreamCall} from './attempt.ts';

/** Work of one stage as calls to upstreams; each retry sends a new call. */
export abstract class StageCall {
  /** Creates the call of the next attempt, which continues from the progress of earlier ones. */
  abstract createCall(): UpstreamCall;

  /** Reads the complete answer. @throws AttemptError if it reports a failure or is incomplete. */
  abstract readResponse(response: HttpResponse): Promise<void>;

  /** Returns the size of the remaining work, in units of one expected request. */
  abstract getRemainingUnits(): number;

  /** Returns the model that the upstream must have loaded; undefined if none is required. */
  getModel(): string | undefined {
    return undefined;
  }

  /** Returns the prompt, whose prefix the upstream may have cached; undefined if there is none. */
  getPrompt(): string | undefined {
    return undefined;
  }
}
