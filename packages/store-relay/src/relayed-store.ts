import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {PeerLink} from '@hollowstack/peers';
import {
  KeyValueStore,
  StoreError,
  type KeyRange,
  type Lease,
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
  /** The store itself. */
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  /** Range in which the instances are registered. */
  readonly memberRange: KeyRange;
  /** Called from the first watch on. */
  readonly getMembers: () => RelayMembers;
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
}

/**
 * Whether this instance can tell peers of changes: it watches the store, it
 * would but the store is away, or it takes them from peers itself.
 */
export type RelayState = 'watching' | 'away' | 'following';

/** A reading under way of a range that is followed. */
interface PendingRead {
  /** Watch in whose time it was sent. */
  readonly generation: number;
  readonly result: Promise<RangeResult>;
}

/** Where the changes come from, for the log. */
type FeedSource = 'store' | 'peers';

/**
 * Milliseconds after a start before a role is taken: processes of a fleet start
 * within 300 ms of each other, and whoever took the first list at its word
 * would watch the store for a fleet that is a fraction of its size.
 */
const START_SETTLE_MS = 600;
/** Milliseconds of watching the store where no peer passes changes on. */
const STORE_FALLBACK_MS = 3000;
/** Milliseconds before peers that cannot reach the store are asked again. */
const AWAY_RETRY_MS = 250;
/**
 * Milliseconds after an outage in which a second source that tells of it says
 * nothing new; sources are back within the 1 s of their own pauses.
 */
const OUTAGE_REPORT_WINDOW_MS = 5000;

/**
 * The store, with its changes taken from peers that watch it. A few instances of
 * each failure domain watch; the others hold a question open at one of two of
 * them in turn, go to the next where one is silent or behind, and to the store
 * where none answers.
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
  /** Revision from which the store's changes are still to be told. */
  private startRevision = 0;
  /** Counts the beginnings of watches, by which late readings are told apart. */
  private generation = 0;
  /** Readings under way, by the range's first key. */
  private readonly pendingReads = new Map<string, PendingRead>();
  /** Until when every change of a range is known, by its first key. */
  private readonly knownUntilMs = new Map<string, number>();
  private handleProgress: ((progress: WatchProgress) => void) | undefined;
  /** Failures of the store's watch, or to begin it, since it last stood. */
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

  /** Returns whether peers can be told of changes. */
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

  /** Returns whether the watch that peers are told from began after an outage. */
  hasBegunAfterOutage(): boolean {
    return this.beganAfterOutage;
  }

  /**
   * Returns the changes of a range, by its first key, behind a revision; undefined
   * where some of them are not known.
   */
  listChanges(
    start: string,
    sinceRevision: number,
  ): readonly WatchEvent[] | undefined {
    return this.mirrors.findMirror(start)?.listChanges(sinceRevision);
  }

  /** Returns how many instances watch the store, as far as this one knows. */
  countWatchers(): number {
    return this.role.listWatchers().length;
  }

  /** Returns the content of a range, by its first key, where it is known. */
  createRangeResult(start: string): RangeResult | undefined {
    return this.mirrors.findMirror(start)?.createRangeResult();
  }

  /** Returns until when every change of a range is known, by its first key. */
  getKnownUntilMs(start: string): number | undefined {
    const isComplete = this.mirrors.findMirror(start)?.isComplete() === true;
    return isComplete ? this.knownUntilMs.get(start) : undefined;
  }

  override refreshWatch(): void {
    this.parts.store.refreshWatch();
    this.client.refresh();
  }

  /** Adds a function that is called at each change until the returned one is called. */
  addChangeListener(listener: () => void): () => void {
    this.changeListeners.add(listener);
    return () => this.changeListeners.delete(listener);
  }

  /** Reads a range; one that is followed is at hand. */
  async readRange(range: KeyRange, minModRevision = 0): Promise<RangeResult> {
    if (!this.mirrors.findMirror(range.start)) {
      return this.parts.store.readRange(range, minModRevision);
    }
    const known =
      this.createRangeResult(range.start) ??
      (await this.readFollowedRange(range));
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

  // Has the ranges from a peer, or finds out that the store answers.
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
        lastContactAtMs = clock.getNow();
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
      // Where the watchers cannot reach the store, it is most likely away.
      if (isAway && !(await this.isStoreReachable())) continue;
      yield* this.watchStore(signal, clock.getNow() + STORE_FALLBACK_MS);
      return;
    }
  }

  // Readers take an empty list for a watch that stands anew, and ask whether
  // that was after an outage.
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

  // Readers of one range share a reading.
  private readFollowedRange(range: KeyRange): Promise<RangeResult> {
    const {generation, pendingReads} = this;
    const shared = pendingReads.get(range.start);
    if (shared?.generation === generation) return shared.result;
    const result = this.readForWatch(range, generation).finally(() => {
      if (pendingReads.get(range.start)?.result === result) {
        pendingReads.delete(range.start);
      }
    });
    pendingReads.set(range.start, {generation, result});
    return result;
  }

  // A reading that was sent before the current watch began may lack changes from before
  // the watch's start, which the watch does not tell either.
  private async readForWatch(
    range: KeyRange,
    generation: number,
  ): Promise<RangeResult> {
    const {clock, store} = this.parts;
    const sentAtMs = clock.getNow();
    const result = await store.readRange(range);
    this.logRead(range, result, sentAtMs);
    if (generation !== this.generation) return this.readRange(range);
    this.applyFirstResult(range.start, result);
    this.recordProgress({start: range.start, knownUntilMs: sentAtMs});
    return this.createRangeResult(range.start) ?? result;
  }

  private applyFirstResult(start: string, result: RangeResult): void {
    // A store may tell no revision with a key that is not there.
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
  ): void {
    const {clock, logger} = this.parts;
    logger.logEvent('store.range-read', {
      range: range.start,
      storeRevision,
      watchRevision: this.startRevision,
      keys: keyValues.length,
      tookMs: Math.round(clock.getNow() - sentAtMs),
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
