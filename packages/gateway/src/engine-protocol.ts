import type {EncodedRequest} from '@hollowstack/stages';
import type {PromptPart} from '@hollowstack/types';

/** How engines are asked what they keep; an adapter gives names and formats. */
export abstract class EngineProtocol {
  /** Encodes the question which parts of prompts an engine keeps. */
  abstract createCacheContentsRequest(address: string): EncodedRequest;

  /** Reads the answer; empty where it cannot be read. */
  abstract parseCacheContents(text: string): PromptPart[];
}
