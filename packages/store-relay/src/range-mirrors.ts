import {
  isInRange,
  type KeyRange,
  type RangeResult,
  type WatchEvent,
} from '@hollowstack/store';
import {RangeMirror} from './range-mirror.ts';

/** The mirrors of all ranges that an instance follows, by their first keys. */
export class RangeMirrors {
  private readonly mirrors = new Map<string, RangeMirror>();

  /** Begins anew, with nothing known. */
  replaceRanges(ranges: readonly KeyRange[]): void {
    this.mirrors.clear();
    for (const range of ranges) {
      this.mirrors.set(range.start, new RangeMirror(range));
    }
  }

  findMirror(start: string): RangeMirror | undefined {
    return this.mirrors.get(start);
  }

  listRanges(): KeyRange[] {
    return [...this.mirrors.values()].map(({range}) => range);
  }

  /** Returns whether content and changes of all ranges are known. */
  isComplete(): boolean {
    return [...this.mirrors.values()].every(mirror => mirror.isComplete());
  }

  /** Takes changes of any range and returns those that are new. */
  applyEvents(events: readonly WatchEvent[]): WatchEvent[] {
    return [...this.mirrors.values()].flatMap(mirror =>
      mirror.applyEvents(
        events.filter(({key}) => isInRange(key, mirror.range)),
      ),
    );
  }

  /** Takes the reading of a range and returns the changes that it brings. */
  applyRangeResult(start: string, result: RangeResult): readonly WatchEvent[] {
    return this.mirrors.get(start)?.applyRangeResult(result) ?? [];
  }

  /**
   * Returns the revision from which changes of all ranges are still to come.
   *
   * @param startRevision Counts for ranges that were not read yet.
   */
  getOldestRevision(startRevision: number): number {
    const revisions = [...this.mirrors.values()].map(mirror =>
      mirror.isComplete() ? mirror.getRevision() : startRevision,
    );
    return Math.min(...revisions);
  }
}
