import type {RegisteredUpstream} from '@hollowstack/routes';

/** Maximum number of remembered removals; the oldest are evicted first. */
const MAX_ENTRIES = 1000;

type LastWrite = Pick<RegisteredUpstream, 'startedAtMs' | 'writeCount'>;

/** Remembers removed registry entries, so that a restored store does not bring them back. */
export class RemovedEntries {
  /** Start time and write count of each removed entry, by key. */
  private readonly lastWrites = new Map<string, LastWrite>();
  /** Values of entries that are not accepted yet, by key. */
  private readonly withheld = new Map<string, string>();

  addEntry(key: string, {startedAtMs, writeCount}: RegisteredUpstream): void {
    this.lastWrites.delete(key);
    this.lastWrites.set(key, {startedAtMs, writeCount});
    if (this.lastWrites.size <= MAX_ENTRIES) return;
    const [oldest] = this.lastWrites.keys();
    this.lastWrites.delete(oldest);
  }

  /**
   * Returns whether an entry may date from before its removal. Within the same incarnation,
   * an entry of a full read always may; one of a watch event may unless its write count has
   * risen.
   */
  isOutdated(key: string, entry: LastWrite, isSingleChange: boolean): boolean {
    const last = this.lastWrites.get(key);
    if (!last) return false;
    const {startedAtMs: lastStart = 0, writeCount: lastCount = 0} = last;
    const {startedAtMs = 0, writeCount = 0} = entry;
    if (startedAtMs !== lastStart) return startedAtMs < lastStart;
    return !isSingleChange || writeCount <= lastCount;
  }

  addWithheld(key: string, text: string): void {
    this.withheld.set(key, text);
  }

  /** Discards a withheld entry that the store no longer has. */
  removeWithheld(key: string): void {
    this.withheld.delete(key);
  }

  /** Forgets the removal of a key and discards its withheld entry. */
  removeEntry(key: string): void {
    this.lastWrites.delete(key);
    this.withheld.delete(key);
  }

  /** Removes and returns all withheld entries, as pairs of key and value. */
  removeAllWithheld(): Array<[string, string]> {
    const withheld = [...this.withheld];
    this.withheld.clear();
    return withheld;
  }
}
