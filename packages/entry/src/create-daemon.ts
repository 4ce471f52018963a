import {ClaimStore, ClaimedCalls, type HeldClaim} from '@hollowstack/claims';
import {
  ConfigurationFollower,
  ConfigurationHolder,
  ConfigurationPublisher,
} from '@hollowstack/config-log';
import {DecisionLog} from '@hollowstack/decisions';
import {MetricsRegistry} from '@hollowstack/metrics';
import {
  KeyRing,
  Membership,
  PeerLink,
  RevisionGossip,
  ShareClient,
  ShareAllocator,
} from '@hollowstack/peers';
import {PlacementLease, PlacementController} from '@hollowstack/placement';
import {
  GroupDirectory,
  LoadPoller,
  PipelineRunner,
  ServiceRunner,
} from '@hollowstack/pipeline';
import {
  BudgetedStore,
  GatewayStore,
  InstanceList,
  StoreIdentity,
  WatchHub,
} from '@hollowstack/store';
import {DEFAULT_HEALTH_POLICY, createSelector} from '@hollowstack/routing';
import type {CallOutcome} from '@hollowstack/types';
import {Daemon, type DaemonEnvironment} from './daemon.ts';
import {RequestDispatcher} from './request-dispatcher.ts';
import {followLeavingUpstreams} from './leaving-upstreams.ts';
import {Lifecycle} from './lifecycle.ts';
import {OperatorEndpoint} from './operator-endpoint.ts';
import {PauseGuard} from './pause-guard.ts';
import {PeerRequestHandler} from './peer-request-handler.ts';
import {listManagedPools} from './managed-pools.ts';
import {PipelineEndpoint} from './pipeline-endpoint.ts';
import {ProbeEndpoint} from './probe-endpoint.ts';
import {RequestGate} from './request-gate.ts';
import {RequestIds} from './request-ids.ts';
import {ServiceEndpoint} from './service-endpoint.ts';
import type {Settings} from './settings.ts';
import {StatusReader} from './status-reader.ts';
import {DecisionReader} from './decision-reader.ts';

/**
 * Burst of store calls, in seconds of the sustained rate: an instance reads all
 * ranges when it starts.
 */
const STORE_CALL_BURST_SECONDS = 2;

/** Composition root: creates and connects all parts of a daemon. */
export function createDaemon(
  settings: Settings,
  environment: DaemonEnvironment,
): Daemon {
  const {clock, client, logger, random, peerNetwork} = environment;
  const {id, failureDomain} = settings.instance;
  const metrics = new MetricsRegistry();
  const lifecycle = new Lifecycle();
  const decisionLog = new DecisionLog();

  const store = new BudgetedStore(
    new GatewayStore(client, clock, settings.platform),
    clock,
    {
      callsPerSecond: settings.platform.callsPerSecond,
      burst: settings.platform.callsPerSecond * STORE_CALL_BURST_SECONDS,
    },
  );
  const holder = new ConfigurationHolder(logger);
  const follower = new ConfigurationFollower(
    store,
    clock,
    holder,
    logger,
    random,
  );
  const identity = new StoreIdentity(store);
  const publisher = new ConfigurationPublisher(store, clock, random, identity);
  const instanceList = new InstanceList(store, clock, random);
  const watchHub = new WatchHub({store, clock, logger, random});

  const self = {id, failureDomain, address: settings.listen.peerAddress};
  const membership = new Membership({self, store, clock, random});
  const keys = new KeyRing(settings.peers.keys);
  const link = new PeerLink({
    identity: {id, failureDomain},
    network: peerNetwork,
    keys,
    clock,
    logger,
    metrics,
  });
  const shareAllocator = new ShareAllocator(clock);
  const shares = new ShareClient({
    link,
    membership,
    allocator: shareAllocator,
    clock,
    random,
    getWorkspace: name => holder.getCurrent()?.getWorkspace(name),
  });

  const groups = new GroupDirectory(clock, logger, {
    instanceId: id,
    subsetSize: settings.limits.upstreamSubset,
    getInstanceCount: () => membership.getLiveCount(),
    adaptLimits: settings.policy.adaptLimits,
    healthPolicy: {
      ...DEFAULT_HEALTH_POLICY,
      reportRestores: settings.policy.reportRestores,
    },
  });
  const poller = new LoadPoller(
    groups,
    client,
    clock,
    random,
    settings.limits.reportPollMs,
  );
  const pauseGuard = new PauseGuard(clock, () => instanceList.refresh());
  const runnerParts = {
    policy: settings.policy,
    waitUntilFresh: () => pauseGuard.waitUntilFresh(),
    client,
    clock,
    selector: createSelector(settings.policy.selector, random),
    metrics,
    logger,
  };

  const claimedCalls = new ClaimedCalls({
    claims: new ClaimStore(store, clock, identity),
    clock,
    askOutcome: (claim, waitMs) => askOutcome(claim, waitMs, membership, link),
    recordUnknownOutcome: ({record}) =>
      logger.logEvent('claim.unknown', {requestId: record.requestId}),
  });

  const peerRequestHandler = new PeerRequestHandler({
    holder,
    follower,
    membership,
    shareAllocator,
    claimedCalls,
    decisionLog,
  });
  link.setRequestHandler(request => peerRequestHandler.answerRequest(request));
  const revisionGossip = new RevisionGossip({
    link,
    membership,
    clock,
    random,
    seeds: settings.peers.seeds,
    getRevision: () => peerRequestHandler.getRevision(),
    refresh: () => follower.refresh(),
    offerSnapshot: (snapshot, source) => {
      const outcome = holder.offerSnapshot(snapshot, source);
      if (outcome === 'in-force') logger.logEvent('config.from-peer', {source});
    },
  });

  const applyConfiguration = () => {
    const current = holder.getCurrent();
    if (!current) return;
    groups.setConfiguration(current.listPools(), current.listServices());
  };
  holder.addListener(applyConfiguration);
  membership.addListener(applyConfiguration);
  followLeavingUpstreams(instanceList, groups);
  watchHub.addSubscription(follower);
  watchHub.addSubscription(instanceList);
  watchHub.addSubscription(membership);

  const placement = new PlacementController({
    lease: new PlacementLease(store, clock, id),
    client,
    clock,
    random,
    logger,
    readPools: () => ({
      revision: holder.getRevision(),
      pools: listManagedPools(holder.getCurrent(), groups),
    }),
  });

  const gate = new RequestGate(lifecycle, holder, shares);
  const dispatcher = new RequestDispatcher({
    clock,
    logger,
    lifecycle,
    requestIds: new RequestIds(id, clock.getNow(), random),
    endpoints: [
      new PipelineEndpoint({
        clock,
        gate,
        runner: new PipelineRunner(groups, runnerParts),
        decisionLog,
        metrics,
        jsonDepth: settings.limits.jsonDepth,
      }),
      new ServiceEndpoint({
        clock,
        instanceId: id,
        gate,
        runner: new ServiceRunner(groups, runnerParts),
        claimedCalls,
        decisionLog,
        metrics,
      }),
      new ProbeEndpoint(lifecycle, metrics),
      new OperatorEndpoint({
        store,
        holder,
        follower,
        publisher,
        logger,
        statusReader: new StatusReader({
          membership,
          lifecycle,
          holder,
          follower,
          groups,
          metrics,
        }),
        decisionReader: new DecisionReader(decisionLog, membership, link),
        keys: settings.operators.keys,
        jsonDepth: settings.limits.jsonDepth,
      }),
    ],
  });

  metrics.setGauge('process_cpu_seconds_total', {}, () => {
    const {user, system} = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_SECOND;
  });
  metrics.setGauge('process_resident_memory_bytes', {}, () =>
    process.memoryUsage.rss(),
  );
  metrics.setGauge('hollowstack_configuration_revision', {}, () =>
    holder.getRevision(),
  );
  metrics.setGauge('hollowstack_requests_in_progress', {}, () =>
    lifecycle.countInProgress(),
  );
  metrics.setGauge('hollowstack_store_calls', {}, () => store.getCallCount());
  metrics.setGauge('hollowstack_store_calls_refused', {}, () =>
    store.getRefusedCount(),
  );

  return new Daemon({
    settings,
    environment,
    lifecycle,
    holder,
    follower,
    watchHub,
    instanceList,
    membership,
    link,
    keys,
    revisionGossip,
    shares,
    poller,
    pauseGuard,
    placement,
    claimedCalls,
    dispatcher,
  });
}

const MICROSECONDS_PER_SECOND = 1e6;
/**
 * Milliseconds that a reply may take beyond the time that the peer waits
 * itself; about a hundred round trips.
 */
const PEER_REPLY_MARGIN_MS = 200;

async function askOutcome(
  claim: HeldClaim,
  waitMs: number,
  membership: Membership,
  link: PeerLink,
): Promise<CallOutcome | undefined> {
  const {key, record} = claim;
  const peer = membership.findPeer(record.instance);
  if (!peer) return undefined;
  const reply = await link
    .sendRequest(
      peer.address,
      {type: 'outcome', claimKey: key, requestId: record.requestId, waitMs},
      waitMs + PEER_REPLY_MARGIN_MS,
    )
    .catch((): undefined => undefined);
  return reply?.type === 'outcome' ? reply.outcome : undefined;
}
