import {RepeatingTask, type Clock} from '@hollowstack/clock';
import {instanceRecordSchema, type InstanceRecord} from '@hollowstack/types';
import {ChangeRevisions} from './change-revisions.ts';
import {
  createPrefixRange,
  type KeyRange,
  type KeyValueStore,
  type RangeResult,
  type WatchEvent,
} from './key-value-store.ts';
import type {WatchSubscription} from './watch-hub.ts';

/** Key prefix of the platform's instance list, followed by `<group>/<id>`. */
export const INSTANCE_LIST_PREFIX = 'platform/instances/';

/** Returns the key of an instance in the platform's list. */
export function getInstanceKey(group: string, id: string): string {
  return `${INSTANCE_LIST_PREFIX}${group}/${id}`;
}

/** Milliseconds between full reads of the list; the watch reports changes sooner. */
const DEFAULT_POLL_MS = 15_000;

/**
 * Follows the platform's list of the instances of each group of upstreams. The
 * list may be stale; during an outage of the store the last known one is retained.
 */
export class InstanceList implements WatchSubscription {
  readonly range: KeyRange = createPrefixRange(INSTANCE_LIST_PREFIX);
  private readonly store: KeyValueStore;
  private readonly records = new Map<string, InstanceRecord>();
  private readonly changes = new ChangeRevisions();
  private readonly listeners: Array<() => void> = [];
  private readonly task: RepeatingTask;
  private isLoaded = false;

  constructor(
    store: KeyValueStore,
    clock: Clock,
    random: () => number,
    pollMs = DEFAULT_POLL_MS,
  ) {
    this.store = store;
    this.task = new RepeatingTask(clock, random, async () => {
      await this.refresh();
      return pollMs;
    });
  }

  /** Returns whether the list was read at least once. */
  hasLoaded(): boolean {
    return this.isLoaded;
  }

  /** Returns the instances of a group. */
  listGroup(group: string): readonly InstanceRecord[] {
    const prefix = getInstanceKey(group, '');
    const found: InstanceRecord[] = [];
    for (const [key, record] of this.records) {
      if (key.startsWith(prefix)) found.push(record);
    }
    return found;
  }

  /** Returns an instance, or undefined if the list does not contain it. */
  getInstance(group: string, id: string): InstanceRecord | undefined {
    return this.records.get(getInstanceKey(group, id));
  }

  /** Adds a function that is called after each change. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Polls until stopped; the watch reports changes sooner. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  handleEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      this.changes.recordChange(event);
      if (event.type === 'delete') this.records.delete(event.key);
      else this.setRecord(event.key, event.value);
    }
    this.callListeners();
  }

  handleResync(): void {
    void this.refresh();
  }

  /** Reads the whole list; retains the last known one if the store does not answer. */
  async refresh(): Promise<void> {
    const found = await this.store.readRange(this.range).catch(() => undefined);
    if (!found) return;
    this.replaceRecords(found);
    this.isLoaded = true;
    this.callListeners();
  }

  private replaceRecords({keyValues, storeRevision}: RangeResult): void {
    const hasNewerChange = (key: string) =>
      this.changes.hasNewerChange(key, storeRevision);
    for (const key of [...this.records.keys()]) {
      if (!hasNewerChange(key)) this.records.delete(key);
    }
    for (const {key, value} of keyValues) {
      if (!hasNewerChange(key)) this.setRecord(key, value);
    }
    this.changes.removeUpTo(storeRevision);
  }

  // The platform writes the list: an entry that cannot be parsed is skipped, so
  // that it does not affect the others.
  private setRecord(key: string, value: string): void {
    const parsed = parseRecord(value);
    if (parsed) this.records.set(key, parsed);
  }

  private callListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function parseRecord(value: string): InstanceRecord | undefined {
  try {
    return instanceRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
