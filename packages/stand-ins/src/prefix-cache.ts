import type {CacheEvent} from '@hollowstack/types';

/** Prompt characters per cache block. */
export const BLOCK_CHARACTERS = 64;
const MAX_EVENTS = 1000;

/** An LRU cache of prompt prefixes in blocks of `BLOCK_CHARACTERS`. */
export class PrefixCache {
  private readonly capacityBlocks: number;
  private readonly blocks = new Set<string>();
  private readonly events: CacheEvent[] = [];
  private nextSequence = 1;

  constructor(capacityBlocks: number) {
    this.capacityBlocks = capacityBlocks;
  }

  /** Adds the prefixes of a prompt and returns how many of its characters were cached before. */
  addPrompt(prompt: string): number {
    let cachedCharacters = 0;
    let isCached = true;
    for (const prefix of splitPrompt(prompt)) {
      isCached &&= this.blocks.has(prefix);
      if (isCached) cachedCharacters = prefix.length;
      else this.recordEvent('stored', prefix);
      this.blocks.delete(prefix);
      this.blocks.add(prefix);
    }
    this.removeOldest();
    return cachedCharacters;
  }

  /** Returns the retained events after a sequence number; only the newest events are retained. */
  listEventsAfter(sequence: number): readonly CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence);
  }

  /** Returns the cached prefixes, least recently used first. */
  listPrefixes(): string[] {
    return [...this.blocks];
  }

  /** Removes all blocks without recording evictions, as a restart does. */
  removeAll(): void {
    this.blocks.clear();
  }

  private removeOldest(): void {
    for (const prefix of this.blocks) {
      if (this.blocks.size <= this.capacityBlocks) return;
      this.blocks.delete(prefix);
      this.recordEvent('evicted', prefix);
    }
  }

  private recordEvent(kind: CacheEvent['kind'], prefix: string): void {
    this.events.push({sequence: this.nextSequence++, kind, prefix});
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }
}

function* splitPrompt(prompt: string): Generator<string> {
  for (
    let end = BLOCK_CHARACTERS;
    end <= prompt.length;
    end += BLOCK_CHARACTERS
  ) {
    yield prompt.slice(0, end);
  }
}
