import type {EncodedRequest} from '@hollowstack/stages';
import type {PromptPart} from '@hollowstack/types';

/** Formats of the requests that list engines' prompt caches; an adapter defines them. */
export abstract class EngineProtocol {
  /** Encodes the request that lists the prompt parts in an engine's cache. */
  abstract createCacheContentsRequest(address: string): EncodedRequest;

  /** Parses the answer; returns an empty list if it is invalid. */
  abstract parseCacheContents(text: string): PromptPart[];
}
