import {RepeatingTask, type Clock} from '@hollowstack/clock';
import {
  ChangeRevisions,
  createPrefixRange,
  type KeyRange,
  type KeyValueStore,
  type RangeResult,
  type WatchEvent,
  type WatchTiming,
  type WatchSubscription,
} from '@hollowstack/store';
import {peerRecordSchema, type PeerRecord} from './messages.ts';

/** Key prefix under which instances register themselves in the store. */
export const PEER_PREFIX = 'hollowstack/instances/';

/** Gossip reports peers as well, so changes in the store may arrive a little late. */
const WATCH_TIMING: WatchTiming = {
  waitMs: 28_000,
  batchDelayMs: 1000,
  timeoutMarginMs: 1000,
};

/** Default duration of a registration's lease, in milliseconds. */
const DEFAULT_LEASE_MS = 30_000;
/** Renewals within the duration of one lease. */
const RENEWALS_PER_LEASE = 3;
/**
 * Milliseconds before a failed registration is retried; a third of the shortest
 * lease in use.
 */
const RETRY_MS = 2000;
/** Milliseconds for which a peer counts as live after a contact or a peer's report. */
const CONTACT_VALID_MS = 15_000;
/** Milliseconds for which a peer that did not answer is not listed as reachable. */
const UNREACHABLE_COOLDOWN_MS = 10_000;

/**
 * Milliseconds for which values computed from the list are reused while no instance
 * joins or leaves. Time-outs that change the list without an event last ten seconds
 * or more.
 */
const CACHE_TTL_MS = 200;

/** Dependencies of Membership. */
export interface MembershipParts {
  readonly self: PeerRecord;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: () => number;
  /** Milliseconds for which a registration remains after its instance has died. */
  readonly leaseMs?: number;
}

/**
 * Tracks the live instances: those registered in the store and those with a recent
 * contact, so that an outage of the store hides no instance.
 */
export class Membership implements WatchSubscription {
  readonly range: KeyRange = {
    ...createPrefixRange(PEER_PREFIX),
    watchTiming: WATCH_TIMING,
  };
  private readonly parts: MembershipParts;
  private readonly registered = new Map<string, PeerRecord>();
  private readonly changes = new ChangeRevisions();
  private readonly recentPeers = new Map<
    string,
    {record: PeerRecord; atMs: number}
  >();
  private readonly listeners: Array<() => void> = [];
  private readonly task: RepeatingTask;
  private readonly unreachableAtMs = new Map<string, number>();
  /**
   * Peers that have registered or been in contact since this instance started, and have
   * not failed to answer since.
   */
  private readonly confirmed = new Set<string>();
  private readonly leaseMs: number;
  private leaseId: string | undefined;
  private isStopped = false;
  private cachedAtMs = -Infinity;
  private readonly cache = new Map<string, unknown>();

  constructor(parts: MembershipParts) {
    this.parts = parts;
    this.leaseMs = parts.leaseMs ?? DEFAULT_LEASE_MS;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      const isRegistered = await this.renew().catch(() => false);
      return isRegistered ? this.leaseMs / RENEWALS_PER_LEASE : RETRY_MS;
    });
  }

  getSelf(): PeerRecord {
    return this.parts.self;
  }

  /**
   * Returns a value computed from the list, cached under a name until the list
   * changes. Several decisions per request depend on the coordinator, and searching the list
   * for it each time is expensive.
   */
  getCached<T>(name: string, compute: () => T): T {
    const nowMs = this.parts.clock.getNow();
    if (nowMs - this.cachedAtMs >= CACHE_TTL_MS) {
      this.cache.clear();
      this.cachedAtMs = nowMs;
    }
    if (!this.cache.has(name)) this.cache.set(name, compute());
    return this.cache.get(name) as T;
  }

  /** Returns the live peers, excluding this instance. */
  listPeers(): PeerRecord[] {
    return this.getCached('peers', () => this.computePeers());
  }

  private computePeers(): PeerRecord[] {
    const peers = new Map<string, PeerRecord>();
    for (const [id, record] of this.registered) peers.set(id, record);
    const oldestMs = this.parts.clock.getNow() - CONTACT_VALID_MS;
    for (const [id, {record, atMs}] of this.recentPeers) {
      if (atMs >= oldestMs) peers.set(id, record);
    }
    peers.delete(this.parts.self.id);
    return [...peers.values()];
  }

  /**
   * Returns the live peers that have not recently failed to answer.
   *
   * @param cooldownMs Milliseconds for which a peer that did not answer is left out.
   */
  listReachablePeers(cooldownMs = UNREACHABLE_COOLDOWN_MS): PeerRecord[] {
    const sinceMs = this.parts.clock.getNow() - cooldownMs;
    return this.listPeers().filter(
      ({id}) => (this.unreachableAtMs.get(id) ?? -Infinity) < sinceMs,
    );
  }

  /**
   * Returns the reachable peers that have registered or been in contact since this
   * instance started. Peers registered before that may be dead, as a registration
   * outlives its instance.
   */
  listConfirmedPeers(): PeerRecord[] {
    return this.listReachablePeers().filter(({id}) => this.confirmed.has(id));
  }

  /**
   * Returns the reachable peers that are not confirmed.
   *
   * @param cooldownMs Milliseconds for which a peer that did not answer is left out.
   */
  listUnconfirmedPeers(cooldownMs: number): PeerRecord[] {
    return this.listReachablePeers(cooldownMs).filter(
      ({id}) => !this.confirmed.has(id),
    );
  }

  /**
   * Returns the start times of the known instances by id, including this one, in Unix
   * milliseconds of each instance's clock. Instances of older versions are left out.
   */
  listStarts(): ReadonlyMap<string, number> {
    const starts = new Map<string, number>();
    for (const {id, startedAtMs} of [this.getSelf(), ...this.listPeers()]) {
      if (startedAtMs !== undefined) starts.set(id, startedAtMs);
    }
    return starts;
  }

  /** Returns the number of live instances, including this one. */
  getLiveCount(): number {
    return this.listPeers().length + 1;
  }

  findPeer(id: string): PeerRecord | undefined {
    return this.listPeers().find(peer => peer.id === id);
  }

  /** Returns whether this instance has stopped and withdraws its registration. */
  isLeaving(): boolean {
    return this.isStopped;
  }

  /** Records a direct contact with a peer, which confirms it. */
  recordContact(record: PeerRecord): void {
    const isNew =
      !this.recentPeers.has(record.id) && !this.registered.has(record.id);
    const wasUnconfirmed =
      this.unreachableAtMs.delete(record.id) || !this.confirmed.has(record.id);
    this.confirmed.add(record.id);
    this.recentPeers.set(record.id, {record, atMs: this.parts.clock.getNow()});
    if (isNew || wasUnconfirmed) this.cache.clear();
    if (isNew) this.callListeners();
  }

  /** Adds a peer that another one has reported; it stays unconfirmed. */
  addPeer(record: PeerRecord): void {
    if (this.recentPeers.has(record.id) || this.registered.has(record.id))
      return;
    this.recentPeers.set(record.id, {record, atMs: this.parts.clock.getNow()});
    this.callListeners();
  }

  /**
   * Records that a peer does not answer. It is no longer confirmed, and is listed only
   * while it is registered.
   */
  recordUnreachable(id: string): void {
    this.recentPeers.delete(id);
    this.confirmed.delete(id);
    this.unreachableAtMs.set(id, this.parts.clock.getNow());
    this.cache.clear();
  }

  /** Adds a function that is called when a peer is added or registrations change. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Registers this instance and renews the registration until stopped. */
  start(): Promise<void> {
    return this.task.start();
  }

  /** Stops renewing and revokes this instance's registration. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.cache.clear();
    this.task.stop();
    const {leaseId} = this;
    this.leaseId = undefined;
    if (leaseId === undefined) return;
    await this.parts.store.revokeLease(leaseId).catch(() => {});
  }

  handleEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      const id = event.key.slice(PEER_PREFIX.length);
      this.changes.recordChange(event);
      if (event.type === 'delete') this.removeRegistered(id);
      else {
        // An instance that registers has just started.
        this.unreachableAtMs.delete(id);
        this.confirmed.add(id);
        this.setRegistered(id, event.value);
      }
    }
    this.callListeners();
  }

  handleResync(): void {
    void this.refresh();
  }

  /** Reads the list from the store; keeps the previous one if the read fails. */
  async refresh(): Promise<void> {
    const found = await this.parts.store
      .readRange(this.range)
      .catch(() => undefined);
    if (!found) return;
    this.replaceRegistered(found);
    this.callListeners();
    await this.renewIfMissing();
  }

  private replaceRegistered({keyValues, storeRevision}: RangeResult): void {
    const hasNewerChange = (key: string) =>
      this.changes.hasNewerChange(key, storeRevision);
    for (const id of [...this.registered.keys()]) {
      if (!hasNewerChange(PEER_PREFIX + id)) this.registered.delete(id);
    }
    for (const {key, value} of keyValues) {
      if (hasNewerChange(key)) continue;
      this.setRegistered(key.slice(PEER_PREFIX.length), value);
    }
    this.changes.removeUpTo(storeRevision);
  }

  // A store restored from a backup may have lost this instance's key although its
  // lease can still be renewed.
  private async renewIfMissing(): Promise<void> {
    const isMissing = !this.registered.has(this.parts.self.id);
    if (this.leaseId === undefined || !isMissing) return;
    this.leaseId = undefined;
    await this.renew().catch(() => false);
  }

  private async renew(): Promise<boolean> {
    const {store, self} = this.parts;
    if (this.leaseId !== undefined && (await store.renewLease(this.leaseId))) {
      return true;
    }
    this.leaseId = undefined;
    const lease = await store.grantLease(this.leaseMs);
    await store.runTransaction({
      comparisons: [],
      onSuccess: [
        {
          type: 'put',
          key: PEER_PREFIX + self.id,
          value: JSON.stringify(self),
          leaseId: lease.id,
        },
      ],
    });
    this.leaseId = lease.id;
    return true;
  }

  private setRegistered(id: string, value: string): void {
    const record = peerRecordSchema.safeParse(JSON.parse(value));
    if (record.success) this.registered.set(id, record.data);
  }

  private removeRegistered(id: string): void {
    this.registered.delete(id);
    // Leases may expire during an outage of the store while all instances are alive.
    if (id === this.parts.self.id) void this.renewIfMissing();
  }

  private callListeners(): void {
    this.cache.clear();
    for (const listener of this.listeners) listener();
  }
}
