import type {
  KeyRange,
  KeyValue,
  RangeResult,
  WatchEvent,
} from '@hollowstack/store';

/**
 * Changes retained for peers that are behind. A peer polls several times a second, and a
 * restart of a whole fleet of 300 makes two changes per instance.
 */
const MAX_RETAINED_EVENTS = 1000;

/** A local copy of one range of the store: its content and its latest changes. */
export class RangeMirror {
  readonly range: KeyRange;
  private keyValues = new Map<string, KeyValue>();
  private events: WatchEvent[] = [];
  private storeId = '';
  /** Revision after which `events` are complete; undefined before the first full read. */
  private historyStartRevision: number | undefined;
  private revision = 0;

  constructor(range: KeyRange) {
    this.range = range;
  }

  /** Returns the store revision of the latest change or full read; 0 before both. */
  getRevision(): number {
    return this.revision;
  }

  /** Returns whether a full read has been applied, so that the content is known. */
  isComplete(): boolean {
    return this.historyStartRevision !== undefined;
  }

  /**
   * Applies a full read of the range. The first one sets the content; a later one, if it
   * is newer, is applied as the changes by which it differs from the known content.
   *
   * @returns The changes to content that was known before.
   */
  applyRangeResult(result: RangeResult): readonly WatchEvent[] {
    if (this.isComplete()) return this.applyNewerResult(result);
    const {storeId, storeRevision, keyValues} = result;
    this.storeId = storeId;
    this.historyStartRevision = storeRevision;
    this.keyValues = new Map(keyValues.map(item => [item.key, item]));
    const bufferedEvents = this.events;
    this.events = [];
    this.revision = storeRevision;
    this.applyEvents(bufferedEvents);
    return [];
  }

  /**
   * Applies changes in the store's order and skips those that are known.
   *
   * @returns The changes that were not known.
   */
  applyEvents(events: readonly WatchEvent[]): readonly WatchEvent[] {
    const newEvents: WatchEvent[] = [];
    const previousRevision = this.revision;
    for (const event of events) {
      // The changes of one transaction share a revision.
      if (event.modRevision <= previousRevision) continue;
      this.revision = Math.max(this.revision, event.modRevision);
      this.events.push(event);
      this.applyEvent(event);
      newEvents.push(event);
    }
    if (this.isComplete()) this.removeOldEvents();
    return newEvents;
  }

  /** Returns the content, or undefined before the first full read. */
  createRangeResult(): RangeResult | undefined {
    if (!this.isComplete()) return undefined;
    return {
      storeId: this.storeId,
      storeRevision: this.revision,
      keyValues: [...this.keyValues.values()],
    };
  }

  /**
   * Returns the changes after a revision, or undefined if some of them are not known or
   * no longer retained.
   */
  listChanges(sinceRevision: number): readonly WatchEvent[] | undefined {
    if (
      this.historyStartRevision === undefined ||
      sinceRevision < this.historyStartRevision
    )
      return undefined;
    return this.events.filter(({modRevision}) => modRevision > sinceRevision);
  }

  private applyNewerResult(result: RangeResult): readonly WatchEvent[] {
    const {storeRevision, keyValues} = result;
    if (storeRevision <= this.revision) return [];
    const listedKeys = new Set(keyValues.map(({key}) => key));
    const puts = keyValues
      .filter(({modRevision}) => modRevision > this.revision)
      .map(({key, value, modRevision}): WatchEvent => ({
        type: 'put',
        key,
        value,
        modRevision,
      }))
      .sort((left, right) => left.modRevision - right.modRevision);
    const deletes = [...this.keyValues.keys()]
      .filter(key => !listedKeys.has(key))
      .map((key): WatchEvent => ({
        type: 'delete',
        key,
        value: '',
        modRevision: storeRevision,
      }));
    const changes = this.applyEvents([...puts, ...deletes]);
    this.revision = storeRevision;
    return changes;
  }

  private removeOldEvents(): void {
    while (this.events.length > MAX_RETAINED_EVENTS) {
      this.historyStartRevision = this.events.shift()!.modRevision;
    }
  }

  private applyEvent({type, key, value, modRevision}: WatchEvent): void {
    if (type === 'delete') {
      this.keyValues.delete(key);
      return;
    }
    const createRevision =
      this.keyValues.get(key)?.createRevision ?? modRevision;
    this.keyValues.set(key, {key, value, modRevision, createRevision});
  }
}
