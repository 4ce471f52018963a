import type {PromptPart} from '@hollowstack/types';

/**
 * Models the prefix cache of an engine: a prompt part is usable only if all
 * parts before it are cached, and the least recently used parts are evicted.
 */
export class PromptCacheModel {
  private readonly capacityTokens: number;
  /** Tokens by part id, the least recently used first. */
  private readonly tokensByPart = new Map<string, number>();
  private cachedTokens = 0;

  constructor(capacityTokens: number) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the number of tokens in the longest cached prefix of the prompt. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.tokensByPart.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Adds the parts of a prompt that the engine has prefilled, and evicts over capacity. */
  recordPrompt(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts) {
      this.cachedTokens += tokens - (this.tokensByPart.get(id) ?? 0);
      this.tokensByPart.delete(id);
      this.tokensByPart.set(id, tokens);
    }
    this.removeLeastRecentlyUsed();
  }

  private removeLeastRecentlyUsed(): void {
    for (const [id, tokens] of this.tokensByPart) {
      if (this.cachedTokens <= this.capacityTokens) return;
      this.tokensByPart.delete(id);
      this.cachedTokens -= tokens;
    }
  }
}
