import {DurationEstimator} from '@hollowstack/admission';
import {EngineDirectory} from '@hollowstack/assignment';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {LoadMeter, TrafficCounter} from '@hollowstack/overload';
import {
  KeyRing,
  NotificationQueue,
  PeerLink,
  chooseCoordinator,
  type PeerNetwork,
} from '@hollowstack/peers';
import type {RouteTable} from '@hollowstack/routes';
import {
  StageCaller,
  StageCoordinator,
  StageDispatcher,
  StagePlanners,
  type StageProtocol,
} from '@hollowstack/stages';
import {
  IsolatedAttempts,
  StoredPartVerdicts,
  StoredRequestVerdicts,
  VerdictPersister,
} from '@hollowstack/quarantine';
import {CheckpointWriter, OrphanReleaser} from '@hollowstack/result-checkpoint';
import type {KeyValueStore} from '@hollowstack/store';
import {CallerGuard, Connector, MemoryBudget} from '@hollowstack/transport';
import {
  OriginTable,
  StreamOrigins,
  VersionHistory,
} from '@hollowstack/stream-origins';
import {LimitTable} from '@hollowstack/upstream-limits';
import type {TunnelNetwork} from '@hollowstack/upstream-paths';
import {
  BackOffTable,
  ToleranceTable,
  UpstreamSignals,
  type SignalProtocol,
} from '@hollowstack/upstream-signals';
import {AttemptRunner} from './attempt-runner.ts';
import {ConnectionGate} from './connection-gate.ts';
import {CountedConnector} from './counted-connector.ts';
import {CoordinatorSearch} from './coordinator-search.ts';
import {CrashReporter} from './crash-reporter.ts';
import {createLimits} from './create-limits.ts';
import {createQuarantine} from './create-quarantine.ts';
import {createUpstreamPaths} from './create-upstream-paths.ts';
import {createStoreView} from './create-store-view.ts';
import {EngineAssigner} from './engine-assigner.ts';
import type {EngineProtocol} from './engine-protocol.ts';
import {EvacuatedDomains} from './evacuated-domains.ts';
import {GatewayRequestHandler} from './gateway-request-handler.ts';
import {GatewayLifecycle} from './gateway-lifecycle.ts';
import {GatewayPeerRequestHandler} from './gateway-peer-request-handler.ts';
import {GatewayServer} from './gateway-server.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import {Gateway} from './gateway.ts';
import {CachedPromptsReader} from './cached-prompts-reader.ts';
import {LimitedSends} from './limited-sends.ts';
import {OperatorEndpoint} from './operator-endpoint.ts';
import {PlaceQueue} from './place-queue.ts';
import type {RequestProtocol} from './request-protocol.ts';
import {RequestReader} from './request-reader.ts';
import {RequestRunner} from './request-runner.ts';
import {RouteHolder} from './route-holder.ts';
import {UpstreamChooser} from './upstream-chooser.ts';
import {UpstreamPool} from './upstream-pool.ts';
import {UpstreamRegistry} from './upstream-registry.ts';
import {WindowRetryBudget} from './window-retry-budget.ts';

/**
 * Maximum number of bytes that the requests and answers of an instance hold together, besides
 * a small share that each of them may hold anyway.
 */
const MAX_MESSAGE_BYTES = 24 * 1024 * 1024;

/** External dependencies of a gateway; tests pass their own. */
export interface GatewayEnvironment {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly peerNetwork: PeerNetwork;
  readonly store: KeyValueStore;
  /** Establishes direct connections to upstreams. */
  readonly upstreamConnector: Connector;
  readonly tunnelNetwork: TunnelNetwork;
  readonly requestProtocol: RequestProtocol;
  readonly stageProtocol: StageProtocol;
  readonly engineProtocol: EngineProtocol;
  readonly signalProtocol: SignalProtocol;
}

/**
 * Creates a gateway. Its components are constructed here and in createStoreView,
 * createLimits and createQuarantine.
 */
export function createGateway(
  settings: GatewaySettings,
  environment: GatewayEnvironment,
): Gateway {
  const {clock, logger, metrics, random} = environment;
  const protocol = environment.requestProtocol;
  const {id, failureDomain} = settings.instance;
  const getNow = () => clock.getNow();
  const lifecycle = new GatewayLifecycle();
  const memory = new MemoryBudget(MAX_MESSAGE_BYTES);
  metrics.setGauge('hollowstack_message_bytes', {}, () =>
    memory.getHeldBytes(),
  );
  const routeHolder = new RouteHolder(protocol, logger, clock);
  const evacuated = new EvacuatedDomains({protocol, logger, clock});
  const registry = new UpstreamRegistry(protocol, logger, clock, evacuated);

  const link = new PeerLink({
    identity: {id, failureDomain},
    network: environment.peerNetwork,
    keys: new KeyRing(settings.peers.keys),
    clock,
    logger,
    metrics,
  });
  const traffic = new TrafficCounter();
  const paths = createUpstreamPaths({
    environment: {
      ...environment,
      upstreamConnector: new CountedConnector(
        environment.upstreamConnector,
        traffic,
      ),
    },
    failureDomain,
    link,
    getMembership: () => membership,
  });
  const {connector, tunnelServer} = paths;
  const {suspects, suspectParts, trials, detector, quarantine} =
    createQuarantine({
      environment,
      connector,
      link,
      getMembership: () => membership,
    });
  const limits = new LimitTable({clock, logger});
  const view = createStoreView({
    settings,
    environment,
    link,
    routeHolder,
    registry,
    evacuated,
    suspects,
    suspectParts,
    limits,
  });
  const {membership, exchange, relay, freshness, freshnessGuard} = view;
  const {granter, limiter} = createLimits(
    environment,
    limits,
    link,
    membership,
  );
  const backOffs = new BackOffTable({clock, logger});
  registry.addRestartListener(({previousId, newId, startedAtMs}) => {
    backOffs.replaceIncarnation(previousId, newId, startedAtMs);
    limits.replaceIncarnation(previousId, newId, startedAtMs);
    tolerances.replaceIncarnation(previousId, newId);
  });
  const tolerances = new ToleranceTable({
    clock,
    logger,
    random,
    getInstanceCount: () => membership.getLiveCount(),
    // The coordinator alone sends work to an engine, a planner alone to a stage upstream; they know
    // its places.
    findPlaces: ({id, service}) => {
      const {engine, stage} =
        routeHolder.getCurrent()?.getService(service) ?? {};
      const slots = pool.getRecord(id)?.capacity;
      if (engine || stage || !slots) return undefined;
      return {slots, occupancyMs: pool.getOccupancyMs(id)};
    },
  });
  const signals = new UpstreamSignals({
    logger,
    backOffs,
    limits,
    tolerances,
    metrics,
    protocol: environment.signalProtocol,
    handleLeaving: (id, requestId) =>
      registry.recordLeaving(id, {source: 'answer', requestId}),
  });
  const planners = new StagePlanners({membership, link});
  const coordinator = new StageCoordinator({
    clock,
    logger,
    metrics,
    caller: new StageCaller({
      protocol: environment.stageProtocol,
      clock,
      connector,
      memory,
      signals,
    }),
    backOffs,
    limiter,
    freshnessGuard,
    random,
    releasesInputsEarly: settings.policy.readRelease,
    mayPlan: id => planners.mayPlan(id),
  });
  const notifications = new NotificationQueue({clock, link});
  const dispatcher = new StageDispatcher({
    clock,
    logger,
    metrics,
    link,
    notes: notifications,
    membership,
    planners,
    local: coordinator,
    random,
  });
  const directory = new EngineDirectory(
    getNow,
    id => limiter.isLimited(id),
    id => tolerances.isBrittle(id),
  );
  const cachedPrompts = new CachedPromptsReader({
    clock,
    logger,
    connector,
    memory,
    directory,
    protocol: environment.engineProtocol,
    signals,
    mayAsk: id => pool.maySend(id) && !limiter.isLimited(id),
  });
  const pool: UpstreamPool = new UpstreamPool({
    getNow,
    random,
    getInstanceCount: () => membership.getLiveCount(),
    backOffs,
  });
  const limitedSends = new LimitedSends({clock, limiter, pool});
  const chooser = new UpstreamChooser({
    pool,
    limitedSends,
    assigner: new EngineAssigner({
      link,
      notifications,
      membership,
      localDirectory: directory,
      cachedPrompts,
    }),
    freshnessGuard,
    random,
    getNow,
    isBrittle: id => tolerances.isBrittle(id),
    placesBySlack: settings.policy.slackPlacing,
  });
  const retryBudget = new WindowRetryBudget(
    {...settings.retries, windowMs: settings.retries.windowSeconds * 1000},
    getNow,
    () => membership.getLiveCount(),
  );
  const versionHistory = new VersionHistory(clock);
  const streamOrigins = new StreamOrigins({
    clock,
    logger,
    metrics,
    link,
    listPeers: () => membership.listReachablePeers(),
    table: new OriginTable(clock),
    history: versionHistory,
    isViewFresh: () => !freshnessGuard.isStale(),
  });
  const runner = new RequestRunner({
    clock,
    protocol,
    connector,
    pool,
    chooser,
    limitedSends,
    dispatcher,
    retryBudget,
    quarantine,
    streamOrigins,
    policy: settings.policy,
    stageDurations: new DurationEstimator(clock),
    attempts: new AttemptRunner({
      clock,
      logger,
      metrics,
      connector,
      memory,
      protocol,
      pool,
      registry,
      signals,
      chooser,
      limitedSends,
      places: new PlaceQueue({
        clock,
        findPlaces: upstreamId => {
          const record = pool.getRecord(upstreamId);
          return record && tolerances.findPlaces(record);
        },
      }),
      retryBudget,
      quarantine,
      isolatedAttempts: new IsolatedAttempts(clock),
      crashReporter: new CrashReporter({clock, pool, quarantine}),
      streamOrigins,
      policy: settings.policy,
    }),
  });
  const requestHandler = new GatewayRequestHandler({
    clock,
    logger,
    metrics,
    protocol,
    routeHolder,
    freshness,
    reader: new RequestReader({
      metrics,
      memory,
      protocol,
      routeHolder,
      freshnessGuard,
      quarantine,
      lifecycle,
    }),
    lifecycle,
    paths: paths.table,
    runner,
  });
  const loadMeter = new LoadMeter({
    clock,
    logger,
    metrics,
    traffic,
    cpuShare: settings.instance.cpuShare,
    readProcessorMs,
    readIdleMs: () => performance.eventLoopUtilization().idle,
    countInProgress: () => lifecycle.countInProgress(),
  });
  const callerGuard = new CallerGuard((surplus, peer) => {
    metrics.addToCounter('hollowstack_surplus_connections_total', {surplus});
    logger.logEvent('entry.surplus', {surplus, peer});
  });
  loadMeter.addListener(() => callerGuard.checkConnections());
  const server = new GatewayServer(
    (incoming, outgoing) => {
      void requestHandler.handle(incoming, outgoing);
    },
    {
      gate: new ConnectionGate({clock, logger, metrics, loadMeter}),
      callerGuard,
      logger,
      traffic,
    },
  );

  routeHolder.addListener(table => {
    planners.setServices(listStageServices(table));
    coordinator.setConfiguration(table);
    directory.setConfiguration(table);
    pool.setConfiguration(table);
    server.setLimits(table.configuration.limits);
  });
  evacuated.addListener(change => registry.applyEvacuations(change));
  registry.addListener(upstreams => {
    paths.table.setUpstreams(upstreams);
    tunnelServer.setUpstreams(upstreams);
    pool.setUpstreams(upstreams);
    versionHistory.setUpstreams(upstreams);
    planners.setUpstreams(upstreams);
    coordinator.setUpstreams(upstreams);
    directory.setUpstreams(upstreams);
    detector.setUpstreams(upstreams);
    limits.setUpstreams(upstreams);
    tolerances.setUpstreams(upstreams);
    limiter.setUpstreams(upstreams);
    signals.recordRegistered(upstreams);
  });

  const coordinatorSearch = new CoordinatorSearch({
    link,
    membership,
    clock,
    random,
  });
  const peerRequestHandler = new GatewayPeerRequestHandler({
    coordinator,
    dispatcher,
    directory,
    cachedPrompts,
    exchange,
    lifecycle,
    relay,
    limits,
    granter,
    freshnessGuard,
    tunnelServer,
    streamOrigins,
    trials,
  });
  link.setRequestHandler((request, peer) =>
    peerRequestHandler.answerRequest(request, peer),
  );

  metrics.setGauge('hollowstack_routes_revision', {}, () =>
    routeHolder.getRevision(),
  );
  metrics.setGauge('hollowstack_requests_in_progress', {}, () =>
    lifecycle.countInProgress(),
  );
  metrics.setGauge('hollowstack_stage_jobs_waiting', {}, () =>
    coordinator.getWaitingCount(),
  );
  metrics.setGauge('hollowstack_upstreams_backing_off', {}, () =>
    backOffs.countBackingOff(),
  );
  metrics.setGauge('hollowstack_upstreams_leaving', {}, () =>
    registry.countLeaving(),
  );
  metrics.setGauge('process_resident_memory_bytes', {}, () =>
    process.memoryUsage.rss(),
  );

  const isCoordinator = () => chooseCoordinator(membership) === undefined;
  const persisterParts = {
    clock,
    logger,
    random,
    store: environment.store,
    isCoordinator,
  };
  const verdictPersisters = [
    new VerdictPersister({
      ...persisterParts,
      verdicts: new StoredRequestVerdicts(suspects),
    }),
    new VerdictPersister({
      ...persisterParts,
      verdicts: new StoredPartVerdicts(suspectParts),
    }),
  ];
  const checkpointParts = {
    clock,
    logger,
    random,
    store: environment.store,
    self: {instance: id, startedAtMs: membership.getSelf().startedAtMs ?? 0},
  };
  const checkpointTasks = [
    new CheckpointWriter({
      ...checkpointParts,
      listStoredResults: () => coordinator.listOwnedResults(),
    }),
    new OrphanReleaser({
      ...checkpointParts,
      isCoordinator,
      listStarts: () => membership.listStarts(),
      releaseResults: results => coordinator.releaseOrphans(results),
    }),
  ];

  return new Gateway({
    settings,
    clock,
    logger,
    metrics,
    lifecycle,
    loadMeter,
    routeHolder,
    watchHub: view.watchHub,
    followers: view.followers,
    freshnessGuard,
    membership,
    link,
    exchange,
    coordinatorSearch,
    prober: paths.prober,
    tunnelServer,
    registry,
    evacuated,
    backOffs,
    granter,
    coordinator,
    coordinatorTasks: settings.policy.resultCheckpoints
      ? [...verdictPersisters, ...checkpointTasks]
      : verdictPersisters,
    callerGuard,
    server,
    operatorEndpoint: new OperatorEndpoint({
      suspects,
      suspectParts,
      limits,
      keys: settings.operators.keys,
    }),
    probePath: protocol.probePath,
  });
}

function readProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

function listStageServices({configuration}: RouteTable): ReadonlySet<string> {
  const services = configuration.services.filter(({stage}) => stage);
  return new Set(services.map(({name}) => name));
}
