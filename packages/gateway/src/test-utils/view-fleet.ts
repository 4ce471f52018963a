import type {ManualClock} from '@hollowstack/clock';
import type {FreshnessGuard, FreshnessTable} from '@hollowstack/freshness';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {
  KeyRing,
  PeerLink,
  type PeerReply,
  type PeerRequest,
  type PeerSocket,
} from '@hollowstack/peers';
import {SuspectPartTable, SuspectTable} from '@hollowstack/quarantine';
import {LimitTable} from '@hollowstack/upstream-limits';
import {
  isAcceptingWork,
  type RegisteredUpstream,
  type RoutedConfiguration,
} from '@hollowstack/routes';
import {createStoreView, type StoreView} from '../create-store-view.ts';
import {EvacuatedDomains} from '../evacuated-domains.ts';
import type {RequestProtocol} from '../request-protocol.ts';
import {RouteHolder} from '../route-holder.ts';
import {UpstreamRegistry} from '../upstream-registry.ts';
import {ViewPeerNetwork} from './view-peer-network.ts';
import {STORE_TIMEOUT_MS, ViewStoreClient} from './view-store-client.ts';
import {
  CONFIGURATION_KEY,
  EVACUATION_PREFIX,
  OPERATOR_PREFIX,
  UPSTREAM_PREFIX,
  ViewStore,
} from './view-store.ts';

const protocol = {
  operatorPrefix: OPERATOR_PREFIX,
  evacuationPrefix: EVACUATION_PREFIX,
  configurationKey: CONFIGURATION_KEY,
  upstreamPrefix: UPSTREAM_PREFIX,
  parseUpstream: (key: string, text: string): RegisteredUpstream => ({
    id: key.slice(UPSTREAM_PREFIX.length),
    service: 'plain',
    address: '10.0.0.1:1',
    failureDomain: key.slice(UPSTREAM_PREFIX.length),
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

/** The parts of one instance that follow the store. */
export interface ViewInstance {
  readonly id: string;
  readonly client: ViewStoreClient;
  readonly network: ViewPeerNetwork;
  readonly registry: UpstreamRegistry;
  readonly routeHolder: RouteHolder;
  readonly suspects: SuspectTable;
  readonly suspectParts: SuspectPartTable;
  readonly limits: LimitTable;
  readonly freshness: FreshnessTable;
  readonly freshnessGuard: FreshnessGuard;
}

/** Size, failure domains and timing of a ViewFleet. */
export interface ViewFleetOptions {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly count: number;
  readonly domainCount: number;
  readonly followWithinMs: number;
}

/** Instances that follow one in-memory store, on a manual clock. */
export class ViewFleet {
  readonly store = new ViewStore();
  readonly instances: ViewInstance[] = [];
  private readonly options: ViewFleetOptions;
  private readonly listeners = new Map<string, (socket: PeerSocket) => void>();
  private readonly stopHandlers: Array<() => void> = [];

  constructor(options: ViewFleetOptions) {
    this.options = options;
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.options.count; index++) {
      await this.startInstance(index);
    }
  }

  stop(): void {
    for (const stop of this.stopHandlers) stop();
  }

  /** Lists the instances that would still send work to an upstream. */
  listSending(upstreamId: string): ViewInstance[] {
    return this.instances.filter(({registry}) =>
      registry
        .listUpstreams()
        .some(
          upstream => upstream.id === upstreamId && isAcceptingWork(upstream),
        ),
    );
  }

  /** Lists the instances whose configuration is older than a revision. */
  listBehind(revision: number): ViewInstance[] {
    return this.instances.filter(
      ({routeHolder}) => routeHolder.getRevision() < revision,
    );
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
    const routeHolder = new RouteHolder(protocol, logger, clock);
    const evacuated = new EvacuatedDomains({protocol, logger, clock});
    const registry = new UpstreamRegistry(protocol, logger, clock, evacuated);
    evacuated.addListener(change => registry.applyEvacuations(change));
    const suspects = new SuspectTable({clock, logger});
    const suspectParts = new SuspectPartTable({clock, logger});
    const limits = new LimitTable({clock, logger});
    const view = createStoreView({
      settings: {
        instance: {...identity, cpuShare: 1, cpuSpeed: 1},
        listen: {address: id, probeAddress: id, peerAddress: id},
        store: {
          address: 'store',
          timeoutMs: STORE_TIMEOUT_MS,
          followWithinMs,
          configureWithinMs: followWithinMs,
          evacuateWithinMs: followWithinMs,
        },
        peers: {seeds: ['instance-0', 'instance-1', 'instance-2'], keys},
      },
      environment: {
        clock,
        logger,
        metrics: new MetricsRegistry(),
        random,
        store: client,
        requestProtocol: protocol,
      },
      link,
      routeHolder,
      registry,
      evacuated,
      suspects,
      suspectParts,
      limits,
    });
    link.setRequestHandler(request => answerPeer(request, view));
    await link.listen(id);
    void view.watchHub.start();
    void view.membership.start();
    void view.exchange.start();
    this.instances.push({
      id,
      client,
      network,
      registry,
      routeHolder,
      suspects,
      suspectParts,
      limits,
      freshness: view.freshness,
      freshnessGuard: view.freshnessGuard,
    });
    this.stopHandlers.push(() => {
      view.watchHub.stop();
      void view.membership.stop();
      view.exchange.stop();
      view.freshnessGuard.stop();
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
