import type {CacheEvent} from '@hollowstack/types';

/** Maximum number of prefixes stored per engine; bounds memory. */
const MAX_PREFIXES = 20_000;

/**
 * Estimates the contents of one engine's prefix cache from its cache events,
 * which arrive late and with gaps. A gap may hide evictions, so each gap halves
 * the expected value of earlier entries instead of dropping them.
 */
export class CacheIndex {
  private readonly prefixes = new Map<string, number>();
  private generation = 0;
  private lastSequence = 0;

  getLastSequence(): number {
    return this.lastSequence;
  }

  /** Applies events in order of their sequence number; repeated ones have no effect. */
  applyEvents(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.sequence <= this.lastSequence) continue;
      if (event.sequence > this.lastSequence + 1) this.generation += 1;
      this.lastSequence = event.sequence;
      if (event.kind === 'evicted') this.prefixes.delete(event.prefix);
      else this.addPrefix(event.prefix);
    }
  }

  /** Removes all prefixes and resets the sequence number, for example after a restart of the engine. */
  removeAll(): void {
    this.prefixes.clear();
    this.lastSequence = 0;
  }

  /** Returns the expected number of cached characters of a prompt. */
  predictCachedCharacters(prompt: string, blockCharacters: number): number {
    let end = blockCharacters;
    let expected = 0;
    while (end <= prompt.length) {
      const generation = this.prefixes.get(prompt.slice(0, end));
      if (generation === undefined) break;
      expected += blockCharacters * 2 ** (generation - this.generation);
      end += blockCharacters;
    }
    return expected;
  }

  private addPrefix(prefix: string): void {
    this.prefixes.set(prefix, this.generation);
    if (this.prefixes.size <= MAX_PREFIXES) return;
    const oldest = this.prefixes.keys().next().value!;
    this.prefixes.delete(oldest);
  }
}
