import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  StoreError,
  createSingleKeyRange,
  type KeyRange,
  type KeyValueStore,
  type WatchEvent,
  type WatchSubscription,
} from '@hollowstack/store';
import type {Head} from '@hollowstack/types';
import type {ConfigurationHolder} from './holder.ts';
import {HEAD_KEY} from './keys.ts';
import {
  readChangedSnapshot,
  readHead,
  readStoredSnapshot,
} from './stored-snapshot.ts';

/** Milliseconds between polls of the head, which find changes that the watch misses. */
const DEFAULT_POLL_MS = 5000;
/** Largest number of attempts to read a revision; a publish in progress can make one fail. */
const MAX_READ_ATTEMPTS = 5;

/** Reads each newer configuration from the store and offers it to the holder. */
export class ConfigurationFollower implements WatchSubscription {
  readonly range: KeyRange = createSingleKeyRange(HEAD_KEY);
  private readonly store: KeyValueStore;
  private readonly holder: ConfigurationHolder;
  private readonly logger: EventLogger;
  private readonly task: RepeatingTask;
  private refreshing: Promise<void> | undefined;
  private isRefreshDue = false;
  private isStoreDown = false;

  /** @param pollMs Milliseconds between polls, which find changes that the watch misses. */
  constructor(
    store: KeyValueStore,
    clock: Clock,
    holder: ConfigurationHolder,
    logger: EventLogger,
    random: () => number,
    pollMs = DEFAULT_POLL_MS,
  ) {
    this.store = store;
    this.holder = holder;
    this.logger = logger;
    this.task = new RepeatingTask(clock, random, async () => {
      await this.refresh();
      return pollMs;
    });
  }

  /** Returns whether the last call to the store failed. */
  isStoreUnavailable(): boolean {
    return this.isStoreDown;
  }

  /** Polls until stopped; the watch and hints from peers report changes sooner. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  handleEvents(events: readonly WatchEvent[]): void {
    if (events.some(event => event.type === 'put')) void this.refresh();
  }

  handleResync(): void {
    void this.refresh();
  }

  /** Handles a peer's hint that a revision was published; reads the store if it is newer. */
  handleHint(revision: number): void {
    if (revision > this.holder.getRevision()) void this.refresh();
  }

  /** Reads the store; a call during a read starts one more read after the current one. */
  refresh(): Promise<void> {
    this.isRefreshDue = true;
    this.refreshing ??= this.runRefreshes().finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  private async runRefreshes(): Promise<void> {
    while (this.isRefreshDue) {
      this.isRefreshDue = false;
      await this.readOnce();
    }
  }

  private async readOnce(): Promise<void> {
    try {
      await this.readAndOffer();
      this.recordStoreState(false);
    } catch (error) {
      if (error instanceof StoreError) {
        this.recordStoreState(true, error.message);
        return;
      }
      const reason = error instanceof Error ? error.message : String(error);
      this.logger.logEvent('config.unreadable', {reason});
    }
  }

  private async readAndOffer(): Promise<void> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      const head = await readHead(this.store);
      if (!head) return;
      if (!this.isNewer(head)) return;
      const snapshot = await this.readSnapshot(head);
      if (!snapshot) continue;
      this.holder.offerSnapshot(snapshot, 'store');
      return;
    }
  }

  // Offers a head that is not newer without its objects: the holder refuses an
  // older or a forked one by the head alone, and logs it.
  private isNewer(head: Head): boolean {
    if (head.revision > this.holder.getRevision()) return true;
    this.holder.offerSnapshot({head, objects: []}, 'store');
    return false;
  }

  private async readSnapshot(head: Head) {
    const current = this.holder.getCurrent();
    if (current) return readChangedSnapshot(this.store, current.snapshot, head);
    const {snapshot} = await readStoredSnapshot(this.store);
    return snapshot;
  }

  private recordStoreState(isDown: boolean, reason?: string): void {
    if (isDown === this.isStoreDown) return;
    this.isStoreDown = isDown;
    this.logger.logEvent(isDown ? 'store.down' : 'store.back', {reason});
  }
}
