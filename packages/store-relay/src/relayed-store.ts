import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {PeerLink} from '@hollowstack/peers';
import {
  KeyValueStore,
  StoreError,
  type KeyRange,
  type Lease,
  type RangePartHandler,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
  type WatchProgress,
} from '@hollowstack/store';
import {RangeMirrors} from './range-mirrors.ts';
import {RelayClient} from './relay-client.ts';
import type {RelayMembers} from './relay-members.ts';
import {RelayRole} from './relay-role.ts';

/** Dependencies of RelayedStore. */
export interface RelayedStoreParts {
  /** The underlying store. */
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  /** Range of keys under which instances register. */
  readonly memberRange: KeyRange;
  /** Returns the member list; called no earlier than the first watch. */
  readonly getMembers: () => RelayMembers;
  /** Milliseconds within which a change must be in force on this instance. */
  readonly followWithinMs: number;
}

/**
 * Whether this instance can pass changes on to peers: `watching` if it watches the store,
 * `away` if it should watch but cannot reach the store, `following` if it receives the
 * changes from peers itself.
 */
export type RelayState = 'watching' | 'away' | 'following';

/** A full read in progress of a range that is followed. */
interface PendingRead {
  /** Generation of the watch during which the read was sent. */
  readonly generation: number;
  readonly result: Promise<RangeResult>;
  readonly partHandlers: Set<RangePartHandler>;
}

/** Source of the changes, for the log. */
type FeedSource = 'store' | 'peers';

/**
 * Milliseconds after a start before the instance takes its role. The processes of a fleet
 * start within 300 ms of each other; an instance that relied on its first member list
 * would watch the store as if the fleet were a fraction of its size.
 */
const START_SETTLE_MS = 600;
/** Milliseconds for which an instance watches the store if no peer passes changes on. */
const STORE_FALLBACK_MS = 3000;
/** Milliseconds before peers that cannot reach the store are asked again. */
const AWAY_RETRY_MS = 250;
/**
 * Milliseconds after a reported outage in which another source's report counts as the same
 * outage; each source reconnects to the store within its own back-off of at most 1 s.
 */
const OUTAGE_REPORT_WINDOW_MS = 5000;

/**
 * A store whose changes come from peers that watch it. A few instances of each failure
 * domain watch the store. The others long-poll two of these alternately, switch to the
 * next one if a peer is unresponsive or behind, and watch the store themselves if no peer
 * answers.
 */
export class RelayedStore extends KeyValueStore {
  private readonly parts: RelayedStoreParts;
  private readonly mirrors = new RangeMirrors();
  private readonly role: RelayRole;
  private readonly client: RelayClient;
  private readonly changeListeners = new Set<() => void>();
  private state: RelayState = 'following';
  private feed: FeedSource | undefined;
  private isFirstStart = true;
  /** Store revision from which a watch of ranges that were not read yet begins. */
  private startRevision = 0;
  /** Incremented when a watch begins; identifies reads sent before the current one. */
  private generation = 0;
  /** Full reads in progress, by the range's first key. */
  private readonly pendingReads = new Map<string, PendingRead>();
  /** Time up to which every change of a range is known, by its first key. */
  private readonly knownUntilMs = new Map<string, number>();
  private handleProgress: ((progress: WatchProgress) => void) | undefined;
  /** Failures to begin or continue a watch of the store since the last one began. */
  private watchFailures = 0;
  private beganAfterOutage = false;
  /** Whether the store was restored between the previous watch and the current one. */
  private isRestored = false;
  private storeId: string | undefined;
  private hasOutageEnded = false;
  private outageEndedAtMs = -Infinity;

  constructor(parts: RelayedStoreParts) {
    super();
    this.parts = parts;
    this.role = new RelayRole(parts);
    this.client = new RelayClient({
      ...parts,
      mirrors: this.mirrors,
      listWatchers: () => this.role.listWatchers(),
    });
  }

  /** Returns the state; `away` also while a watched range has not been read yet. */
  getState(): RelayState {
    if (this.state !== 'watching') return this.state;
    return this.mirrors.isComplete() ? 'watching' : 'away';
  }

  override isAfterOutage(): boolean {
    return this.hasOutageEnded || this.isRestored;
  }

  override getHistoryId(): string {
    return this.parts.store.getHistoryId();
  }

  /** Returns whether the watch that feeds peers began after an outage of the store. */
  hasBegunAfterOutage(): boolean {
    return this.beganAfterOutage;
  }

  /**
   * Returns the changes of a range, by its first key, after a revision; undefined if some
   * of them are not known.
   */
  listChanges(
    start: string,
    sinceRevision: number,
  ): readonly WatchEvent[] | undefined {
    return this.mirrors.findMirror(start)?.listChanges(sinceRevision);
  }

  /** Returns the number of instances that watch the store, as far as this one knows. */
  countWatchers(): number {
    return this.role.listWatchers().length;
  }

  /** Returns the content of a range, by its first key; undefined if it is not known. */
  createRangeResult(start: string): RangeResult | undefined {
    return this.mirrors.findMirror(start)?.createRangeResult();
  }

  /**
   * Returns the time up to which every change of a range is known, by its first key;
   * undefined before the range has been read.
   */
  getKnownUntilMs(start: string): number | undefined {
    const isComplete = this.mirrors.findMirror(start)?.isComplete() === true;
    return isComplete ? this.knownUntilMs.get(start) : undefined;
  }

  override refreshWatch(): void {
    this.parts.store.refreshWatch();
    this.client.refresh();
  }

  /**
   * Adds a function that is called when a watch of the store delivers changes or fails; the
   * returned function removes it.
   */
  addChangeListener(listener: () => void): () => void {
    this.changeListeners.add(listener);
    return () => this.changeListeners.delete(listener);
  }

  /** Reads a range; one that is followed is served from memory once it is known. */
  async readRange(
    range: KeyRange,
    minModRevision = 0,
    handlePart?: RangePartHandler,
  ): Promise<RangeResult> {
    if (!this.mirrors.findMirror(range.start)) {
      return this.parts.store.readRange(range, minModRevision, handlePart);
    }
    const known =
      this.createRangeResult(range.start) ??
      (await this.readFollowedRange(range, handlePart));
    const keyValues = known.keyValues.filter(
      ({modRevision}) => modRevision >= minModRevision,
    );
    return {...known, keyValues};
  }

  runTransaction(transaction: Transaction): Promise<TransactionResult> {
    return this.parts.store.runTransaction(transaction);
  }

  grantLease(ttlMs: number): Promise<Lease> {
    return this.parts.store.grantLease(ttlMs);
  }

  renewLease(leaseId: string): Promise<boolean> {
    return this.parts.store.renewLease(leaseId);
  }

  revokeLease(leaseId: string): Promise<void> {
    return this.parts.store.revokeLease(leaseId);
  }

  async *watchRanges(
    ranges: readonly KeyRange[],
    _fromRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]> {
    this.mirrors.replaceRanges(ranges);
    this.knownUntilMs.clear();
    this.generation += 1;
    this.handleProgress = handleProgress;
    try {
      const fromPeers = await this.beginWatch();
      yield [];
      for (const each of fromPeers ?? []) this.recordProgress(each);
      if (!fromPeers && this.isFirstStart)
        yield* this.waitForRegistrations(signal);
      this.isFirstStart = false;
      while (!signal.aborted) {
        if (this.role.isWatcher()) yield* this.watchStore(signal);
        else yield* this.followPeers(signal);
      }
    } catch (error) {
      this.recordWatchFailure();
      throw error;
    }
  }

  // Reads the ranges from a peer; returns undefined if the store must be watched instead.
  // Reading the member list from the store shows that the store answers.
  private async beginWatch(): Promise<readonly WatchProgress[] | undefined> {
    const {store, memberRange, getMembers} = this.parts;
    this.isRestored = false;
    const earlyProgress = await this.readFromPeers();
    if (earlyProgress) return earlyProgress;
    const list = await store.readRange(memberRange);
    this.mirrors.applyRangeResult(memberRange.start, list);
    await getMembers().refresh();
    this.startRevision = list.storeRevision;
    this.generation += 1;
    this.isRestored =
      this.storeId !== undefined && this.storeId !== list.storeId;
    this.storeId = list.storeId;
    const lateProgress = await this.readFromPeers();
    if (lateProgress) return lateProgress;
    this.setFeed('store');
    this.state = 'watching';
    this.beganAfterOutage = this.watchFailures > 1 || this.isRestored;
    this.watchFailures = 0;
    return undefined;
  }

  private async readFromPeers(): Promise<readonly WatchProgress[] | undefined> {
    return this.role.isWatcher() ? undefined : this.client.readAll();
  }

  private recordProgress(progress: WatchProgress): void {
    const {start, knownUntilMs} = progress;
    const previousMs = this.knownUntilMs.get(start) ?? -Infinity;
    this.knownUntilMs.set(start, Math.max(previousMs, knownUntilMs));
    this.handleProgress?.(progress);
  }

  private async *waitForRegistrations(
    signal: AbortSignal,
  ): AsyncIterable<readonly WatchEvent[]> {
    const {clock, store, memberRange} = this.parts;
    await waitFor(clock, START_SETTLE_MS, signal);
    const list = await store.readRange(memberRange);
    const newEvents = this.mirrors.applyRangeResult(memberRange.start, list);
    if (newEvents.length > 0) yield newEvents;
  }

  private async *watchStore(
    signal: AbortSignal,
    untilMs?: number,
  ): AsyncIterable<readonly WatchEvent[]> {
    const {store} = this.parts;
    const roleEnd = new AbortController();
    const combinedSignal = AbortSignal.any([signal, roleEnd.signal]);
    const stopCheck = this.role.watchForRoleEnd(untilMs, () => roleEnd.abort());
    this.setFeed('store');
    this.state = 'watching';
    try {
      const since = this.mirrors.getOldestRevision(this.startRevision);
      const ranges = this.mirrors.listRanges();
      const watch = store.watchRanges(ranges, since, combinedSignal, progress =>
        this.recordProgress(progress),
      );
      for await (const events of watch) {
        const newEvents = this.mirrors.applyEvents(events);
        if (newEvents.length === 0) continue;
        this.callChangeListeners();
        yield newEvents;
      }
    } catch (error) {
      if (!roleEnd.signal.aborted || signal.aborted) throw error;
    } finally {
      stopCheck();
    }
  }

  private async *followPeers(
    signal: AbortSignal,
  ): AsyncIterable<readonly WatchEvent[]> {
    const {clock, followWithinMs} = this.parts;
    let lastContactAtMs = clock.getNow();
    this.setFeed('peers');
    this.state = 'following';
    while (!signal.aborted && !this.role.isWatcher()) {
      const source = this.client.chooseSource();
      if (source) {
        const update = await this.client.askForChanges(source);
        if (!update) continue;
        if (update.isComplete) lastContactAtMs = clock.getNow();
        if (update.isAfterOutage) yield* this.publishOutageEnd();
        if (update.events.length > 0) yield update.events;
        for (const each of update.progress) this.recordProgress(each);
        continue;
      }
      const isAway = this.client.restoreAwaySources();
      if (isAway && clock.getNow() - lastContactAtMs < followWithinMs) {
        await waitFor(clock, AWAY_RETRY_MS, signal);
        continue;
      }
      lastContactAtMs = clock.getNow();
      // If no watcher can reach the store, this instance most likely cannot either.
      if (isAway && !(await this.isStoreReachable())) continue;
      yield* this.watchStore(signal, clock.getNow() + STORE_FALLBACK_MS);
      return;
    }
  }

  // Readers interpret an empty list as the start of a new watch, and then ask whether it
  // began after an outage.
  private *publishOutageEnd(): Iterable<readonly WatchEvent[]> {
    const nowMs = this.parts.clock.getNow();
    if (nowMs - this.outageEndedAtMs < OUTAGE_REPORT_WINDOW_MS) return;
    this.outageEndedAtMs = nowMs;
    this.hasOutageEnded = true;
    yield [];
    this.hasOutageEnded = false;
  }

  private async isStoreReachable(): Promise<boolean> {
    const {store, memberRange} = this.parts;
    return store.readRange(memberRange).then(
      () => true,
      () => false,
    );
  }

  // Concurrent readers of a range share one read.
  private readFollowedRange(
    range: KeyRange,
    handlePart?: RangePartHandler,
  ): Promise<RangeResult> {
    const {generation, pendingReads} = this;
    const shared = pendingReads.get(range.start);
    if (shared?.generation === generation) {
      if (handlePart) shared.partHandlers.add(handlePart);
      return shared.result;
    }
    const partHandlers = new Set(handlePart ? [handlePart] : []);
    const callHandlers: RangePartHandler = keyValues => {
      for (const handler of partHandlers) handler(keyValues);
    };
    const result = this.readForWatch(range, generation, callHandlers).finally(
      () => {
        if (pendingReads.get(range.start)?.result === result) {
          pendingReads.delete(range.start);
        }
      },
    );
    pendingReads.set(range.start, {generation, result, partHandlers});
    return result;
  }

  // A read that was sent before the current watch began may lack changes from before the
  // start of the watch, which the watch does not deliver either.
  private async readForWatch(
    range: KeyRange,
    generation: number,
    handlePart: RangePartHandler,
  ): Promise<RangeResult> {
    const {clock, store} = this.parts;
    const sentAtMs = clock.getNow();
    const result = await store.readRange(range, 0, handlePart);
    const isSuperseded = generation !== this.generation;
    this.logRead(range, result, sentAtMs, isSuperseded);
    if (isSuperseded) {
      return this.readRange(range, 0, handlePart);
    }
    this.applyFirstResult(range.start, result);
    this.recordProgress({start: range.start, knownUntilMs: sentAtMs});
    return this.createRangeResult(range.start) ?? result;
  }

  private applyFirstResult(start: string, result: RangeResult): void {
    // A store may return no revision for a key that does not exist.
    const storeRevision = result.storeRevision || this.startRevision;
    if (storeRevision < this.startRevision) {
      throw new StoreError('the reading is older than the watch', 'none');
    }
    this.mirrors.applyRangeResult(start, {...result, storeRevision});
  }

  private logRead(
    range: KeyRange,
    {storeRevision, keyValues}: RangeResult,
    sentAtMs: number,
    isSuperseded: boolean,
  ): void {
    const {clock, logger} = this.parts;
    logger.logEvent('store.range-read', {
      range: range.start,
      storeRevision,
      watchRevision: this.startRevision,
      keys: keyValues.length,
      tookMs: Math.round(clock.getNow() - sentAtMs),
      isSuperseded,
    });
  }

  private recordWatchFailure(): void {
    this.watchFailures += 1;
    this.state = 'away';
    this.callChangeListeners();
  }

  private setFeed(feed: FeedSource): void {
    if (feed === this.feed) return;
    this.feed = feed;
    this.parts.logger.logEvent('relay.feed', {
      feed,
      watchers: this.role
        .listWatchers()
        .map(({id}) => id)
        .join(','),
    });
  }

  private callChangeListeners(): void {
    for (const listener of this.changeListeners) listener();
  }
}
