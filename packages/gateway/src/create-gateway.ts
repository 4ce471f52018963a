import {DurationEstimator} from '@hollowstack/admission';
import {EngineDirectory} from '@hollowstack/assignment';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {
  KeyRing,
  Membership,
  PEER_PREFIX,
  PeerLink,
  type PeerNetwork,
} from '@hollowstack/peers';
import {
  StageCaller,
  StageCoordinator,
  StageDispatcher,
  type StageProtocol,
} from '@hollowstack/stages';
import {
  WatchHub,
  createPrefixRange,
  createSingleKeyRange,
  type KeyValueStore,
} from '@hollowstack/store';
import {RelayServer, RelayedStore} from '@hollowstack/store-relay';
import {CoordinatorSearch} from './coordinator-search.ts';
import {CopyExchange} from './copy-exchange.ts';
import {EngineAssigner} from './engine-assigner.ts';
import type {EngineProtocol} from './engine-protocol.ts';
import {GatewayFront} from './gateway-front.ts';
import {GatewayLifecycle} from './gateway-lifecycle.ts';
import {GatewayPeerRequests} from './gateway-peer-requests.ts';
import {GatewayServer} from './gateway-server.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import {Gateway} from './gateway.ts';
import {KeptPromptsReader} from './kept-prompts-reader.ts';
import type {RequestProtocol} from './request-protocol.ts';
import {RequestRunner} from './request-runner.ts';
import {RouteHolder} from './route-holder.ts';
import {StoreFollower} from './store-follower.ts';
import {UpstreamChooser} from './upstream-chooser.ts';
import {UpstreamPool} from './upstream-pool.ts';
import {UpstreamRegistry} from './upstream-registry.ts';
import {createWatchPace} from './watch-pace.ts';
import {WindowRetryBudget} from './window-retry-budget.ts';

/** What a gateway needs of the world; tests pass their own. */
export interface GatewayEnvironment {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly peerNetwork: PeerNetwork;
  readonly store: KeyValueStore;
  readonly requestProtocol: RequestProtocol;
  readonly stageProtocol: StageProtocol;
  readonly engineProtocol: EngineProtocol;
}

/**
 * Milliseconds after which an instance that died is off the list. Whoever needs
 * one finds out by asking; the list only has to forget, and each renewal has a
 * price: 0.02 calls a second and instance at a third of this time.
 */
const MEMBER_LEASE_MS = 15_000;

/**
 * Milliseconds between attempts to watch the store again. The last one is
 * bounded by the 3 s after an outage in which an instance must have caught up:
 * an attempt that meets the outage's end may itself take the store's time-out.
 */
const WATCH_BACKOFF = {minBackoffMs: 200, maxBackoffMs: 1000};

/** Wires all parts of a gateway; the only place where they are constructed. */
export function createGateway(
  settings: GatewaySettings,
  environment: GatewayEnvironment,
): Gateway {
  const {clock, logger, random} = environment;
  const protocol = environment.requestProtocol;
  const {id, failureDomain, cpuShare, cpuSpeed} = settings.instance;
  const followWithinMs = Math.min(
    settings.store.followWithinMs,
    settings.store.configureWithinMs,
  );
  const getNow = () => clock.getNow();
  const metrics = new MetricsRegistry();
  const lifecycle = new GatewayLifecycle();
  const holder = new RouteHolder(protocol, logger);
  const registry = new UpstreamRegistry(protocol, logger, clock);

  const self = {
    id,
    failureDomain,
    address: settings.listen.peerAddress,
    cores: cpuShare * cpuSpeed,
  };
  const link = new PeerLink({
    identity: {id, failureDomain},
    network: environment.peerNetwork,
    keys: new KeyRing(settings.peers.keys),
    clock,
    logger,
    metrics,
  });
  const store = new RelayedStore({
    store: environment.store,
    clock,
    logger,
    link,
    memberRange: createPrefixRange(PEER_PREFIX),
    getMembers: () => membership,
    followWithinMs,
  });
  const membership: Membership = new Membership({
    self,
    store,
    clock,
    random,
    leaseMs: MEMBER_LEASE_MS,
  });
  const coordinator = new StageCoordinator({
    clock,
    logger,
    metrics,
    caller: new StageCaller(environment.stageProtocol, clock),
  });
  const dispatcher = new StageDispatcher({
    clock,
    logger,
    link,
    membership,
    local: coordinator,
  });
  const directory = new EngineDirectory(getNow);
  const keptPrompts = new KeptPromptsReader({
    clock,
    logger,
    directory,
    protocol: environment.engineProtocol,
  });
  const pool = new UpstreamPool(getNow);
  const runner = new RequestRunner({
    clock,
    logger,
    protocol,
    pool,
    registry,
    chooser: new UpstreamChooser({
      pool,
      assigner: new EngineAssigner({
        link,
        membership,
        local: directory,
        keptPrompts,
      }),
      random,
    }),
    dispatcher,
    policy: settings.policy,
    stageDurations: new DurationEstimator(clock),
    retryBudget: new WindowRetryBudget(
      {...settings.retries, windowMs: settings.retries.windowSeconds * 1000},
      getNow,
      () => membership.getLiveCount(),
    ),
  });
  const front = new GatewayFront({
    clock,
    logger,
    metrics,
    protocol,
    holder,
    lifecycle,
    runner,
  });
  const server = new GatewayServer((incoming, outgoing) => {
    void front.handle(incoming, outgoing);
  });

  holder.addListener(table => {
    coordinator.setConfiguration(table);
    directory.setConfiguration(table);
    server.setLimits(table.configuration.limits);
  });
  registry.addListener(upstreams => {
    pool.setUpstreams(upstreams);
    coordinator.setUpstreams(upstreams);
    directory.setUpstreams(upstreams);
  });

  const createPace = (isHeartbeat: boolean) =>
    createWatchPace({
      followWithinMs,
      getWatcherCount: () => store.countWatchers(),
      isHeartbeat,
    });
  const configurationFollower = new StoreFollower({
    store,
    clock,
    random,
    logger,
    range: {
      ...createSingleKeyRange(protocol.configurationKey),
      watchPace: createPace(false),
    },
    handleReading: ({keyValues}) => {
      for (const {value} of keyValues) holder.offerText(value, 'store');
    },
    handleChanges: events => {
      for (const {type, value} of events) {
        if (type === 'put') holder.offerText(value, 'watch');
      }
    },
  });
  const registryFollower = new StoreFollower({
    store,
    clock,
    random,
    logger,
    range: {
      ...createPrefixRange(protocol.upstreamPrefix),
      watchPace: createPace(true),
    },
    handleReading: ({keyValues, storeRevision}) =>
      registry.replaceEntries(keyValues, storeRevision, 'store'),
    handleChanges: events => registry.applyEvents(events),
    handleOutageEnd: () => registry.beginGrace(),
  });
  const watchHub = new WatchHub({
    store,
    clock,
    logger,
    random,
    backoff: WATCH_BACKOFF,
  });
  watchHub.addSubscription(configurationFollower);
  watchHub.addSubscription(registryFollower);
  watchHub.addSubscription(membership);

  const exchange = new CopyExchange({
    link,
    membership,
    clock,
    random,
    seeds: settings.peers.seeds,
    holder,
    registry,
    followWithinMs,
    watch: {
      getLastChangeMs: () => configurationFollower.getLastChangeMs(),
      refresh: () => watchHub.refresh(),
    },
  });
  registry.addMissingListener(() => void exchange.runRound());
  const coordinatorSearch = new CoordinatorSearch({
    link,
    membership,
    clock,
    random,
  });
  const peerRequests = new GatewayPeerRequests({
    coordinator,
    directory,
    keptPrompts,
    exchange,
    lifecycle,
    relay: new RelayServer({clock, store}),
  });
  link.setRequestHandler(request => peerRequests.answerRequest(request));

  metrics.setGauge('hollowstack_routes_revision', {}, () =>
    holder.getRevision(),
  );
  metrics.setGauge('hollowstack_requests_in_progress', {}, () =>
    lifecycle.getInProgress(),
  );
  metrics.setGauge('hollowstack_stage_jobs_waiting', {}, () =>
    coordinator.getWaitingCount(),
  );
  metrics.setGauge('process_resident_memory_bytes', {}, () =>
    process.memoryUsage.rss(),
  );

  return new Gateway({
    settings,
    clock,
    logger,
    metrics,
    lifecycle,
    holder,
    watchHub,
    followers: [configurationFollower, registryFollower],
    membership,
    link,
    exchange,
    coordinatorSearch,
    registry,
    coordinator,
    server,
    probePath: protocol.probePath,
  });
}
