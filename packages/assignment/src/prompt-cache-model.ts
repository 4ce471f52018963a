import type {PromptPart} from '@hollowstack/types';

/**
 * A model of the prompt parts that an engine keeps: a part is of use only where
 * all parts before it are kept, and those unused longest give way.
 */
export class PromptCacheModel {
  private readonly capacityTokens: number;
  /** Tokens by part id, the one unused longest first. */
  private readonly tokensByPart = new Map<string, number>();
  private cachedTokens = 0;

  constructor(capacityTokens: number) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many tokens of the prompt, from its beginning, are kept. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.tokensByPart.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that the engine has read a prompt. */
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
