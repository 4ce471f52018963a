import type {PromptPart} from '@hollowstack/types';

/**
 * A model of the prompt parts that an engine keeps: a part is of use only where
 * all parts before it are kept, and those unused longest give way.
 */
export class PromptCacheModel {
  private readonly capacityTokens: number;
  /** Tokens by part id, the one unused longest first. */
  private readonly kept = new Map<string, number>();
  private keptTokens = 0;

  constructor(capacityTokens: number) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many tokens of the prompt, from its beginning, are kept. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.kept.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that the engine has read a prompt. */
  recordPrompt(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts) {
      this.keptTokens += tokens - (this.kept.get(id) ?? 0);
      this.kept.delete(id);
      this.kept.set(id, tokens);
    }
    this.removeOldest();
  }

  private removeOldest(): void {
    for (const [id, tokens] of this.kept) {
      if (this.keptTokens <= this.capacityTokens) return;
      this.kept.delete(id);
      this.keptTokens -= tokens;
    }
  }
}
