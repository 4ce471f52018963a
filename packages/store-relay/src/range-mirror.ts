import type {
  KeyRange,
  KeyValue,
  RangeResult,
  WatchEvent,
} from '@hollowstack/store';

/**
 * Changes kept for peers that are behind; a peer asks several times a second,
 * and a restart of a whole fleet of 300 brings two changes an instance.
 */
const MAX_EVENTS = 1000;

/** What is known of one range of the store: its content and its latest changes. */
export class RangeMirror {
  readonly range: KeyRange;
  private keyValues = new Map<string, KeyValue>();
  private events: WatchEvent[] = [];
  private storeId = '';
  /** Revision behind which `events` are whole; undefined before a reading. */
  private floor: number | undefined;
  private revision = 0;

  constructor(range: KeyRange) {
    this.range = range;
  }

  /** Returns the revision of the newest change that is known. */
  getRevision(): number {
    return this.revision;
  }

  /** Returns whether content and changes are known. */
  isComplete(): boolean {
    return this.floor !== undefined;
  }

  /**
   * Takes a reading. The first one is the content from which changes are counted.
   * A later one brings what differs from the known content, if it is newer.
   *
   * @returns The changes that it brings to content that was known.
   */
  applyRangeResult(reading: RangeResult): readonly WatchEvent[] {
    if (this.isComplete()) return this.applyNewerReading(reading);
    const {storeId, storeRevision, keyValues} = reading;
    this.storeId = storeId;
    this.floor = storeRevision;
    this.keyValues = new Map(keyValues.map(item => [item.key, item]));
    const early = this.events;
    this.events = [];
    this.revision = storeRevision;
    this.applyEvents(early);
    return [];
  }

  /**
   * Takes changes in the store's order and passes over those that are known.
   *
   * @returns The changes that are new.
   */
  applyEvents(events: readonly WatchEvent[]): readonly WatchEvent[] {
    const news: WatchEvent[] = [];
    const before = this.revision;
    for (const event of events) {
      // One transaction gives several changes the same revision.
      if (event.modRevision <= before) continue;
      this.revision = Math.max(this.revision, event.modRevision);
      this.events.push(event);
      this.applyEvent(event);
      news.push(event);
    }
    if (this.isComplete()) this.removeOldEvents();
    return news;
  }

  /** Returns the content, or undefined while it is not known. */
  createRangeResult(): RangeResult | undefined {
    if (!this.isComplete()) return undefined;
    return {
      storeId: this.storeId,
      storeRevision: this.revision,
      keyValues: [...this.keyValues.values()],
    };
  }

  /**
   * Returns the changes behind a revision; undefined where some of them are not
   * known.
   */
  listChanges(sinceRevision: number): readonly WatchEvent[] | undefined {
    if (this.floor === undefined || sinceRevision < this.floor)
      return undefined;
    return this.events.filter(({modRevision}) => modRevision > sinceRevision);
  }

  private applyNewerReading(reading: RangeResult): readonly WatchEvent[] {
    const {storeRevision, keyValues} = reading;
    if (storeRevision <= this.revision) return [];
    const listed = new Set(keyValues.map(({key}) => key));
    const put = keyValues
      .filter(({modRevision}) => modRevision > this.revision)
      .map(({key, value, modRevision}): WatchEvent => ({
        type: 'put',
        key,
        value,
        modRevision,
      }))
      .sort((left, right) => left.modRevision - right.modRevision);
    const removed = [...this.keyValues.keys()]
      .filter(key => !listed.has(key))
      .map((key): WatchEvent => ({
        type: 'delete',
        key,
        value: '',
        modRevision: storeRevision,
      }));
    const changes = this.applyEvents([...put, ...removed]);
    this.revision = storeRevision;
    return changes;
  }

  private removeOldEvents(): void {
    while (this.events.length > MAX_EVENTS) {
      this.floor = this.events.shift()!.modRevision;
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
