import type {CacheEvent} from '@hollowstack/types';

/** Characters of a prompt that one block of the cache covers. */
export const BLOCK_CHARACTERS = 64;
const KEPT_EVENTS = 1000;

/** A least-recently-used cache of prompt prefixes, in blocks. */
export class PrefixCache {
  private readonly capacityBlocks: number;
  private readonly blocks = new Set<string>();
  private readonly events: CacheEvent[] = [];
  private nextSequence = 1;

  constructor(capacityBlocks: number) {
    this.capacityBlocks = capacityBlocks;
  }

  /** Adds a prompt's prefixes and returns how many of its characters were there before. */
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

  /** Returns the events after a sequence number that are still kept. */
  listEventsAfter(sequence: number): readonly CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence);
  }

  /** Returns the prefixes that are held, the one unused longest first. */
  listPrefixes(): string[] {
    return [...this.blocks];
  }

  /** Drops every block, as a restart does. */
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
    if (this.events.length > KEPT_EVENTS) this.events.shift();
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
