import {waitFor, type ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {
  KeyRing,
  PeerLink,
  PeerNetwork,
  type PeerReply,
  type PeerRequest,
  type PeerSocket,
} from '@hollowstack/peers';
import type {
  RegisteredUpstream,
  RoutedConfiguration,
} from '@hollowstack/routes';
import {
  KeyValueStore,
  PolledWatch,
  StoreError,
  type KeyRange,
  type KeyValue,
  type Lease,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchCall,
  type WatchCallAnswer,
  type WatchEvent,
} from '@hollowstack/store';
import {createStoreView, type StoreView} from './create-store-view.ts';
import type {RequestProtocol} from './request-protocol.ts';
import {RouteHolder} from './route-holder.ts';
import {UpstreamRegistry} from './upstream-registry.ts';

/** Milliseconds of one message between two processes. */
const LATENCY_MS = 2;
/** Milliseconds for one answer of the store, as the settings' default. */
const STORE_TIMEOUT_MS = 1000;
const UPSTREAM_PREFIX = 'upstreams/';
const CONFIGURATION_KEY = 'configuration';

const protocol = {
  configurationKey: CONFIGURATION_KEY,
  upstreamPrefix: UPSTREAM_PREFIX,
  parseUpstream: (key: string, text: string): RegisteredUpstream => ({
    id: key.slice(UPSTREAM_PREFIX.length),
    service: 'plain',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    capacity: 1,
    isLeaving: text === 'leaving',
  }),
  parseConfiguration: (text: string): RoutedConfiguration => ({
    revision: Number(text),
    routes: [],
    services: [],
    workspaces: undefined,
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  }),
} as unknown as RequestProtocol;

/** A connection that may fall silent for good, without a reset. */
interface Connection {
  isSilent: boolean;
}

/** The content of a store and its history, shared by the instances of a fleet. */
export class ViewStore {
  private revision = 1;
  private readonly keyValues = new Map<string, KeyValue>();
  private readonly events: WatchEvent[] = [];
  private readonly waiting = new Set<() => void>();

  putUpstream(id: string, value: 'ready' | 'leaving'): void {
    this.put(UPSTREAM_PREFIX + id, value);
  }

  removeUpstream(id: string): void {
    const key = UPSTREAM_PREFIX + id;
    this.keyValues.delete(key);
    this.addEvent({type: 'delete', key, value: ''});
  }

  putConfiguration(revision: number): void {
    this.put(CONFIGURATION_KEY, String(revision));
  }

  put(key: string, value: string): void {
    const modRevision = this.addEvent({type: 'put', key, value});
    this.keyValues.set(key, {
      key,
      value,
      modRevision,
      createRevision: modRevision,
    });
  }

  read(range: KeyRange): RangeResult {
    const keyValues = [...this.keyValues.values()].filter(({key}) =>
      key.startsWith(range.start),
    );
    return {storeId: 's', storeRevision: this.revision, keyValues};
  }

  listChanges({range, sinceRevision}: WatchCall): WatchCallAnswer {
    const events = this.events.filter(
      ({key, modRevision}) =>
        modRevision > sinceRevision && key.startsWith(range.start),
    );
    return {events, storeRevision: this.revision};
  }

  /** Resolves at the next change, or when the signal aborts. */
  waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.waiting.add(wake);
      signal.addEventListener('abort', wake, {once: true});
    });
  }

  private addEvent(event: Omit<WatchEvent, 'modRevision'>): number {
    this.revision += 1;
    this.events.push({...event, modRevision: this.revision});
    for (const wake of [...this.waiting]) wake();
    return this.revision;
  }
}

/** One instance's way to the store, over connections that are kept. */
class ViewStoreClient extends KeyValueStore {
  /** Whether the store refuses every call of this instance. */
  isRefused = false;
  private readonly clock: ManualClock;
  private readonly store: ViewStore;
  private readonly watch: PolledWatch;
  private readonly open = new Set<Connection>();
  private idle: Connection[] = [];

  constructor(clock: ManualClock, store: ViewStore) {
    super();
    this.clock = clock;
    this.store = store;
    this.watch = new PolledWatch({
      clock,
      logger: new SilentEventLogger(),
      callStore: call => this.callWatch(call),
    });
  }

  silenceConnections(isStruck: () => boolean): void {
    for (const connection of this.open) {
      if (isStruck()) connection.isSilent = true;
    }
  }

  async readRange(range: KeyRange): Promise<RangeResult> {
    return this.call(async () => this.store.read(range));
  }

  async runTransaction({onSuccess}: Transaction): Promise<TransactionResult> {
    return this.call(async () => {
      for (const step of onSuccess) {
        if (step.type === 'put') this.store.put(step.key, step.value);
      }
      return {succeeded: true, storeId: 's', storeRevision: 0, reads: []};
    });
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    return this.call(async () => ({id: '1', ttlMs}));
  }

  async renewLease(): Promise<boolean> {
    return this.call(async () => true);
  }

  async revokeLease(): Promise<void> {}

  async *watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly WatchEvent[]> {
    yield [];
    yield* this.watch.watchRanges(ranges, fromRevision, signal);
  }

  private async callWatch(call: WatchCall): Promise<WatchCallAnswer> {
    return this.send(async () => {
      const waiting = AbortSignal.any([call.signal, this.createEnd(call)]);
      for (;;) {
        const answer = this.store.listChanges(call);
        if (answer.events.length > 0 || waiting.aborted) return answer;
        await this.store.waitForChange(waiting);
      }
    }, call.signal);
  }

  private createEnd({waitMs}: WatchCall): AbortSignal {
    const controller = new AbortController();
    this.clock.schedule(waitMs, () => controller.abort());
    return controller.signal;
  }

  private async call<Answer>(run: () => Promise<Answer>): Promise<Answer> {
    const controller = new AbortController();
    const timer = this.clock.schedule(STORE_TIMEOUT_MS, () =>
      controller.abort(new Error('no answer in time')),
    );
    try {
      return await this.send(run, controller.signal);
    } finally {
      timer.cancel();
    }
  }

  // As the client over HTTP does: idle connections are used again, and after a
  // failure on one of them the others are closed too.
  private async send<Answer>(
    run: () => Promise<Answer>,
    signal: AbortSignal,
  ): Promise<Answer> {
    const kept = this.idle.pop();
    const connection = kept ?? {isSilent: false};
    this.open.add(connection);
    try {
      await waitFor(this.clock, LATENCY_MS, signal);
      if (this.isRefused) throw new StoreError('refused', 'none');
      const answer = connection.isSilent ? undefined : await run();
      if (connection.isSilent) await waitFor(this.clock, Infinity, signal);
      signal.throwIfAborted();
      this.idle.push(connection);
      return answer!;
    } catch (error) {
      this.open.delete(connection);
      if (kept) this.idle = [];
      throw error;
    }
  }
}

/** Streams between the instances of a fleet. */
class ViewPeerNetwork extends PeerNetwork {
  private readonly clock: ManualClock;
  private readonly listeners: Map<string, (socket: PeerSocket) => void>;
  private readonly open = new Set<Connection>();

  constructor(
    clock: ManualClock,
    listeners: Map<string, (socket: PeerSocket) => void>,
  ) {
    super();
    this.clock = clock;
    this.listeners = listeners;
  }

  silenceConnections(isStruck: () => boolean): void {
    for (const connection of this.open) {
      if (isStruck()) connection.isSilent = true;
    }
  }

  async listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string> {
    this.listeners.set(address, handleSocket);
    return address;
  }

  async connect(address: string): Promise<PeerSocket> {
    await waitFor(this.clock, LATENCY_MS);
    const connection = {isSilent: false};
    const near = new ViewPeerSocket(this.clock, connection);
    const far = new ViewPeerSocket(this.clock, connection);
    near.other = far;
    far.other = near;
    this.open.add(connection);
    this.listeners.get(address)?.(far);
    return near;
  }

  close(): void {}
}

class ViewPeerSocket implements PeerSocket {
  other: ViewPeerSocket | undefined;
  private readonly clock: ManualClock;
  private readonly connection: Connection;
  private handleData: (bytes: Uint8Array) => void = () => {};
  private handleClose: () => void = () => {};
  private isClosed = false;

  constructor(clock: ManualClock, connection: Connection) {
    this.clock = clock;
    this.connection = connection;
  }

  send(bytes: Uint8Array): void {
    this.deliver(other => other.handleData(bytes));
  }

  setDataHandler(handleData: (bytes: Uint8Array) => void): void {
    this.handleData = handleData;
  }

  setCloseHandler(handleClose: () => void): void {
    this.handleClose = handleClose;
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.deliver(other => other.close());
    this.handleClose();
  }

  private deliver(passOn: (other: ViewPeerSocket) => void): void {
    if (this.connection.isSilent) return;
    this.clock.schedule(LATENCY_MS, () => {
      if (!this.connection.isSilent && this.other) passOn(this.other);
    });
  }
}

/** One instance of a fleet, as far as it follows the store. */
export interface ViewInstance {
  readonly id: string;
  readonly client: ViewStoreClient;
  readonly network: ViewPeerNetwork;
  readonly registry: UpstreamRegistry;
  readonly holder: RouteHolder;
}

/** How a fleet is started. */
export interface ViewFleetOptions {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly count: number;
  readonly domainCount: number;
  readonly followWithinMs: number;
}

/** Instances that follow one store, in memory and on a manual clock. */
export class ViewFleet {
  readonly store = new ViewStore();
  readonly instances: ViewInstance[] = [];
  private readonly options: ViewFleetOptions;
  private readonly listeners = new Map<string, (socket: PeerSocket) => void>();
  private readonly ends: Array<() => void> = [];

  constructor(options: ViewFleetOptions) {
    this.options = options;
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.options.count; index++) {
      await this.startInstance(index);
    }
  }

  stop(): void {
    for (const end of this.ends) end();
  }

  /** Lists the instances that would still send work to an upstream. */
  listSending(upstreamId: string): ViewInstance[] {
    return this.instances.filter(({registry}) =>
      registry
        .listUpstreams()
        .some(({id, isLeaving}) => id === upstreamId && !isLeaving),
    );
  }

  /** Lists the instances that a configuration has not reached. */
  listBehind(revision: number): ViewInstance[] {
    return this.instances.filter(({holder}) => holder.getRevision() < revision);
  }

  private async startInstance(index: number): Promise<void> {
    const {clock, random, domainCount, followWithinMs} = this.options;
    const id = `instance-${index}`;
    const logger = new SilentEventLogger();
    const identity = {id, failureDomain: `domain-${index % domainCount}`};
    const client = new ViewStoreClient(clock, this.store);
    const network = new ViewPeerNetwork(clock, this.listeners);
    const keys = [{id: 'k', secret: 'secret-of-this-test-fleet'}];
    const link = new PeerLink({
      identity,
      network,
      keys: new KeyRing(keys),
      clock,
      logger,
      metrics: new MetricsRegistry(),
    });
    const holder = new RouteHolder(protocol, logger);
    const registry = new UpstreamRegistry(protocol, logger, clock);
    const view = createStoreView({
      settings: {
        instance: {...identity, cpuShare: 1, cpuSpeed: 1},
        listen: {address: id, probeAddress: id, peerAddress: id},
        store: {
          address: 'store',
          timeoutMs: STORE_TIMEOUT_MS,
          followWithinMs,
          configureWithinMs: followWithinMs,
        },
        peers: {seeds: ['instance-0', 'instance-1', 'instance-2'], keys},
      },
      environment: {
        clock,
        logger,
        random,
        store: client,
        requestProtocol: protocol,
      },
      link,
      holder,
      registry,
    });
    link.setRequestHandler(request => answerPeer(request, view));
    await link.listen(id);
    void view.watchHub.start();
    void view.membership.start();
    void view.exchange.start();
    this.instances.push({id, client, network, registry, holder});
    this.ends.push(() => {
      view.watchHub.stop();
      void view.membership.stop();
      view.exchange.stop();
      registry.stop();
      for (const follower of view.followers) follower.stop();
      link.close();
    });
  }
}

async function answerPeer(
  request: PeerRequest,
  {exchange, relay}: StoreView,
): Promise<PeerReply> {
  if (request.type === 'copy') return exchange.answerCopy(request);
  if (request.type === 'relay-watch') return relay.answerWatch(request);
  if (request.type === 'relay-read') return relay.answerRead(request);
  return {type: 'done'};
}
