import {
  isInRange,
  type KeyRange,
  type RangeResult,
  type WatchEvent,
} from '@hollowstack/store';
import {RangeMirror} from './range-mirror.ts';

/** The mirrors of all ranges that an instance follows, by the ranges' first keys. */
export class RangeMirrors {
  private readonly mirrors = new Map<string, RangeMirror>();

  /** Replaces all mirrors with empty mirrors of the given ranges. */
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

  /** Returns whether the content of all ranges is known. */
  isComplete(): boolean {
    return [...this.mirrors.values()].every(mirror => mirror.isComplete());
  }

  /** Applies changes of any ranges and returns those that were not known. */
  applyEvents(events: readonly WatchEvent[]): WatchEvent[] {
    return [...this.mirrors.values()].flatMap(mirror =>
      mirror.applyEvents(
        events.filter(({key}) => isInRange(key, mirror.range)),
      ),
    );
  }

  /** Applies a full read of a range and returns the changes to its known content. */
  applyRangeResult(start: string, result: RangeResult): readonly WatchEvent[] {
    return this.mirrors.get(start)?.applyRangeResult(result) ?? [];
  }

  /**
   * Returns the revision after which a watch of all ranges must begin to miss no change.
   *
   * @param startRevision Revision to assume for ranges that have not been read yet.
   */
  getOldestRevision(startRevision: number): number {
    const revisions = [...this.mirrors.values()].map(mirror =>
      mirror.isComplete() ? mirror.getRevision() : startRevision,
    );
    return Math.min(...revisions);
  }
}
