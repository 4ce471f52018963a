import {serialize} from 'node:v8';
import {waitFor, type Clock, type ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {
  Membership,
  PEER_PREFIX,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import {
  KeyValueStore,
  StoreError,
  WatchHub,
  createPrefixRange,
  type KeyRange,
  type KeyValue,
  type Lease,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
  type WatchSubscription,
} from '@hollowstack/store';
import {RelayServer} from './relay-server.ts';
import {RelayedStore} from './relayed-store.ts';

/** Milliseconds between two polls by a watch of this store. */
const WATCH_POLL_MS = 20;
/** Latency in milliseconds of a call to the store or a peer. */
const CALL_MS = 4;
/** Milliseconds within which a change must be in force in these tests. */
export const FOLLOW_WITHIN_MS = 3000;
/** The range that the instances of these tests follow. */
export const TEST_RANGE: KeyRange = createPrefixRange('test/');

/** How the store responds to one instance, or an instance to its peers. */
export type PathState = 'open' | 'refused' | 'silent';

/** A store in memory, shared by the instances of a test. */
export class MemoryStore {
  readonly clock: Clock;
  revision = 1;
  readCount = 0;
  watchCount = 0;
  private readonly keyValues = new Map<string, KeyValue>();
  private readonly events: WatchEvent[] = [];

  constructor(clock: Clock) {
    this.clock = clock;
  }

  put(key: string, value: string): void {
    this.revision += 1;
    const modRevision = this.revision;
    this.keyValues.set(key, {
      key,
      value,
      modRevision,
      createRevision: modRevision,
    });
    this.events.push({type: 'put', key, value, modRevision});
  }

  remove(key: string): void {
    if (!this.keyValues.delete(key)) return;
    this.revision += 1;
    const modRevision = this.revision;
    this.events.push({type: 'delete', key, value: '', modRevision});
  }

  read(range: KeyRange): RangeResult {
    this.readCount += 1;
    const keyValues = [...this.keyValues.values()].filter(({key}) =>
      key.startsWith(range.start),
    );
    // The platform's store returns revision 0 for a single key that does not exist.
    const isMissing = range.end === undefined && keyValues.length === 0;
    const storeRevision = isMissing ? 0 : this.revision;
    return {storeId: 's', storeRevision, keyValues};
  }

  listEvents(
    ranges: readonly KeyRange[],
    sinceRevision: number,
  ): readonly WatchEvent[] {
    return this.events.filter(
      ({key, modRevision}) =>
        modRevision > sinceRevision &&
        ranges.some(({start}) => key.startsWith(start)),
    );
  }
}

/** One instance's connection to the store. */
class StoreClient extends KeyValueStore {
  path: PathState = 'open';
  private readonly store: MemoryStore;

  constructor(store: MemoryStore) {
    super();
    this.store = store;
  }

  async readRange(range: KeyRange): Promise<RangeResult> {
    await this.call();
    return this.store.read(range);
  }

  async runTransaction({onSuccess}: Transaction): Promise<TransactionResult> {
    await this.call();
    for (const step of onSuccess) {
      if (step.type === 'put') this.store.put(step.key, step.value);
    }
    const storeRevision = this.store.revision;
    return {succeeded: true, storeId: 's', storeRevision, reads: []};
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    await this.call();
    return {id: '1', ttlMs};
  }

  async renewLease(): Promise<boolean> {
    await this.call();
    return true;
  }

  async revokeLease(): Promise<void> {}

  async *watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly WatchEvent[]> {
    await this.call();
    this.store.watchCount += 1;
    let since = fromRevision > 0 ? fromRevision : this.store.revision;
    yield [];
    while (!signal.aborted) {
      if (this.path === 'refused') throw new StoreError('refused', 'none');
      const isOpen = this.path === 'open';
      const events = isOpen ? this.store.listEvents(ranges, since) : [];
      if (events.length > 0) {
        since = events.at(-1)!.modRevision;
        yield events;
      }
      await waitFor(this.store.clock, WATCH_POLL_MS, signal);
    }
  }

  private async call(): Promise<void> {
    await waitFor(this.store.clock, CALL_MS);
    if (this.path !== 'open') throw new StoreError(this.path, 'none');
  }
}

/** Follows a range and stores the values that arrive. */
export class TestReader implements WatchSubscription {
  readonly range: KeyRange;
  readonly values = new Map<string, string>();
  outageCount = 0;
  private readonly store: KeyValueStore;

  constructor(store: KeyValueStore, range: KeyRange) {
    this.store = store;
    this.range = range;
  }

  handleEvents(events: readonly WatchEvent[]): void {
    for (const {type, key, value} of events) {
      if (type === 'delete') this.values.delete(key);
      else this.values.set(key, value);
    }
  }

  handleResync(isAfterOutage: boolean): void {
    if (isAfterOutage) this.outageCount += 1;
    this.store.readRange(this.range).then(
      ({keyValues}) => {
        this.values.clear();
        for (const {key, value} of keyValues) this.values.set(key, value);
      },
      () => {},
    );
  }
}

/** One instance under test. */
export interface TestInstance {
  readonly id: string;
  readonly failureDomain: string;
  readonly client: StoreClient;
  readonly relayed: RelayedStore;
  readonly reader: TestReader;
  readonly membership: Membership;
  /** How the instance responds to its peers. */
  peerPath: PathState;
  stop(): void;
}

/** Instances that follow one store over an in-memory network. */
export class TestFleet {
  readonly store: MemoryStore;
  readonly instances: TestInstance[] = [];
  /** Bandwidth from an instance to its peers, in bytes per millisecond. */
  linkBytesPerMs = Infinity;
  private readonly clock: ManualClock;
  private readonly range: KeyRange;
  private readonly servers = new Map<string, RelayServer>();
  /** Time at which an instance's link has sent all queued bytes, by the instance's id. */
  private readonly sentAtMs = new Map<string, number>();

  /** @param range Range that the instances follow, besides the member list. */
  constructor(clock: ManualClock, range = TEST_RANGE) {
    this.clock = clock;
    this.range = range;
    this.store = new MemoryStore(clock);
  }

  /** Starts instances, distributed evenly over failure domains. */
  start(count: number, domainCount: number): void {
    for (let index = 0; index < count; index++) {
      this.startInstance(`instance-${index}`, `domain-${index % domainCount}`);
    }
  }

  /** Stops all instances at once. */
  stop(): void {
    for (const instance of this.instances) instance.stop();
  }

  private startInstance(id: string, failureDomain: string): void {
    const {clock} = this;
    const random = () => 0.5;
    const client = new StoreClient(this.store);
    const relayed: RelayedStore = new RelayedStore({
      store: client,
      clock,
      logger: new SilentEventLogger(),
      link: {
        sendRequest: (address, request, timeoutMs) =>
          this.send(address, request, timeoutMs),
      },
      memberRange: createPrefixRange(PEER_PREFIX),
      getMembers: () => membership,
      followWithinMs: FOLLOW_WITHIN_MS,
    });
    const self = {id, address: id, failureDomain};
    const membership = new Membership({self, store: relayed, clock, random});
    const reader = new TestReader(relayed, this.range);
    const hub = new WatchHub({
      store: relayed,
      clock,
      logger: new SilentEventLogger(),
      random,
      backoff: {minBackoffMs: 200, maxBackoffMs: 1000},
    });
    hub.addSubscription(reader);
    hub.addSubscription(membership);
    this.servers.set(id, new RelayServer({clock, store: relayed}));
    this.instances.push({
      id,
      failureDomain,
      client,
      relayed,
      reader,
      membership,
      peerPath: 'open',
      stop: () => {
        hub.stop();
        void membership.stop();
      },
    });
    void membership.start();
    void hub.start();
  }

  private async send(
    address: string,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply> {
    await waitFor(this.clock, CALL_MS);
    const target = this.instances.find(({id}) => id === address)!;
    if (target.peerPath === 'silent') await waitFor(this.clock, timeoutMs);
    if (target.peerPath !== 'open') throw new Error(target.peerPath);
    const startedAtMs = this.clock.getNow();
    const reply = await this.answer(address, request);
    const sentAtMs = this.computeSentAtMs(address, reply);
    const nowMs = this.clock.getNow();
    const remainingMs = startedAtMs + timeoutMs - nowMs;
    await waitFor(this.clock, Math.min(remainingMs, sentAtMs - nowMs));
    if (sentAtMs - nowMs > remainingMs) throw new Error('timeout');
    return reply;
  }

  private async answer(
    address: string,
    request: PeerRequest,
  ): Promise<PeerReply> {
    const server = this.servers.get(address)!;
    if (request.type === 'relay-read') return server.answerRead(request);
    if (request.type === 'relay-watch') return server.answerWatch(request);
    throw new Error(`${request.type} was not expected`);
  }

  // A link sends replies in order, also those that have timed out at the receiver.
  private computeSentAtMs(address: string, reply: PeerReply): number {
    const nowMs = this.clock.getNow();
    if (this.linkBytesPerMs === Infinity) return nowMs;
    const startMs = Math.max(nowMs, this.sentAtMs.get(address) ?? 0);
    const endMs = startMs + serialize(reply).length / this.linkBytesPerMs;
    this.sentAtMs.set(address, endMs);
    return endMs;
  }
}
