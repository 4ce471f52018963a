import {FreshnessTable, type FreshnessGuard} from '@hollowstack/freshness';
import type {SuspectPartTable, SuspectTable} from '@hollowstack/quarantine';
import {
  Membership,
  PEER_PREFIX,
  SHARED_PLANNING,
  type PeerLink,
} from '@hollowstack/peers';
import {
  WatchHub,
  createPrefixRange,
  type WatchTiming,
} from '@hollowstack/store';
import {RelayServer, RelayedStore} from '@hollowstack/store-relay';
import type {LimitTable} from '@hollowstack/upstream-limits';
import {GossipExchange} from './gossip-exchange.ts';
import {createFreshnessGuard} from './create-freshness-guard.ts';
import type {EvacuatedDomains} from './evacuated-domains.ts';
import type {GatewayEnvironment} from './create-gateway.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RouteHolder} from './route-holder.ts';
import {StoreFollower} from './store-follower.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import {createWatchTiming} from './watch-timing.ts';

/** The components that keep an instance's view of the store up to date. */
export interface StoreView {
  readonly membership: Membership;
  readonly watchHub: WatchHub;
  readonly followers: readonly StoreFollower[];
  /** Exchanges configuration, upstreams and reports with peers. */
  readonly exchange: GossipExchange;
  /** The time up to which each part of the view is known to be complete. */
  readonly freshness: FreshnessTable;
  /** Refreshes a stale view before a decision relies on it. */
  readonly freshnessGuard: FreshnessGuard;
  /** Relays changes to peers that do not watch the store. */
  readonly relay: RelayServer;
}

/** Dependencies of the store view. */
export interface StoreViewParts {
  readonly settings: Pick<
    GatewaySettings,
    'instance' | 'listen' | 'store' | 'peers'
  >;
  readonly environment: Pick<
    GatewayEnvironment,
    'clock' | 'logger' | 'metrics' | 'random' | 'store' | 'requestProtocol'
  >;
  readonly link: PeerLink;
  /** Receives configurations. */
  readonly routeHolder: RouteHolder;
  /** Receives registrations of upstreams. */
  readonly registry: UpstreamRegistry;
  /** Receives evacuations of failure domains. */
  readonly evacuated: EvacuatedDomains;
  /** Receives peers' reports of requests that crash upstreams. */
  readonly suspects: SuspectTable;
  readonly suspectParts: SuspectPartTable;
  /** Receives peers' reports of rate limits. */
  readonly limits: LimitTable;
}

/**
 * Time after which a crashed instance is removed from the member list. Peers detect a
 * crash sooner by failed requests, so the lease only cleans up the list. A renewal after
 * each third of this time costs 0.2 calls per second and instance.
 */
const MEMBER_LEASE_MS = 15_000;

/**
 * Back-off between attempts to restart the watch. The maximum is bounded by the 3 s after
 * an outage in which an instance must be up to date: an attempt that overlaps the end of
 * the outage may itself take the store's time-out.
 */
const WATCH_BACKOFF = {minBackoffMs: 200, maxBackoffMs: 1000};

/** Creates the watch of the store, its relay and the gossip with peers. */
export function createStoreView(parts: StoreViewParts): StoreView {
  const {settings, environment, link, routeHolder, registry, evacuated} = parts;
  const {suspects, suspectParts, limits} = parts;
  const {clock, logger, random} = environment;
  const {id, failureDomain, cpuShare, cpuSpeed} = settings.instance;
  const {peerAddress, advertisedPeerAddress} = settings.listen;
  const followWithinMs = Math.min(
    settings.store.followWithinMs,
    settings.store.configureWithinMs,
    settings.store.evacuateWithinMs,
  );
  const freshness = new FreshnessTable({clock, maxAgeMs: followWithinMs});
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
    self: {
      id,
      failureDomain,
      address: advertisedPeerAddress ?? peerAddress,
      cores: cpuShare * cpuSpeed,
      startedAtMs: clock.getNow(),
      acceptedRequests: [
        'stream-began',
        'stream-origin',
        'part-trial',
        SHARED_PLANNING,
      ],
    },
    store,
    clock,
    random,
    leaseMs: MEMBER_LEASE_MS,
  });
  const watchTiming = createWatchTiming({
    followWithinMs,
    getWatcherCount: () => store.countWatchers(),
  });
  const followerParts = {store, clock, random, logger};
  const operatorFollower = createOperatorFollower(
    followerParts,
    environment.requestProtocol,
    watchTiming,
    {routeHolder, evacuated, freshness},
  );
  const registryFollower = createRegistryFollower(
    followerParts,
    environment.requestProtocol.upstreamPrefix,
    watchTiming,
    {registry, freshness},
  );
  const watchHub = new WatchHub({
    store,
    clock,
    logger,
    random,
    backoff: WATCH_BACKOFF,
  });
  const followers = [operatorFollower, registryFollower];
  for (const follower of followers) watchHub.addSubscription(follower);
  watchHub.addSubscription(membership);

  const exchange = new GossipExchange({
    link,
    membership,
    clock,
    logger,
    random,
    seeds: settings.peers.seeds,
    routeHolder,
    registry,
    evacuated,
    suspects,
    suspectParts,
    limits,
    freshness,
    followWithinMs,
  });
  registry.addMissingListener(() => void exchange.runRound());
  registry.addLeavingReportListener(() => exchange.schedulePropagation());
  suspects.addChangeListener(() => exchange.schedulePropagation());
  suspectParts.addChangeListener(() => exchange.schedulePropagation());
  limits.addChangeListener(() => exchange.schedulePropagation());
  const relay = new RelayServer({clock, store});
  const freshnessGuard = createFreshnessGuard(environment, {
    table: freshness,
    store,
    exchange,
  });
  return {
    membership,
    watchHub,
    followers,
    exchange,
    relay,
    freshness,
    freshnessGuard,
  };
}

type FollowerParts = Pick<
  ConstructorParameters<typeof StoreFollower>[0],
  'store' | 'clock' | 'random' | 'logger'
>;

// Follows one range for everything that operators write. A separate range for evacuations
// would cost each watcher of the store a third more calls.
function createOperatorFollower(
  parts: FollowerParts,
  {operatorPrefix, configurationKey}: RequestProtocol,
  watchTiming: WatchTiming,
  {
    routeHolder,
    evacuated,
    freshness,
  }: Pick<StoreViewParts, 'routeHolder' | 'evacuated'> &
    Pick<StoreView, 'freshness'>,
): StoreFollower {
  return new StoreFollower({
    ...parts,
    range: {...createPrefixRange(operatorPrefix), watchTiming},
    handleFullRead: ({keyValues, storeRevision}) => {
      evacuated.applyFullRead(keyValues, storeRevision);
      for (const {key, value} of keyValues) {
        if (key === configurationKey) routeHolder.offerText(value, 'store');
      }
    },
    handlePartialRead: keyValues => {
      evacuated.applyPartialRead(keyValues);
      for (const {key, value} of keyValues) {
        if (key === configurationKey) routeHolder.offerText(value, 'store');
      }
    },
    handleKnownUntil: untilMs =>
      freshness.recordKnown('configuration', untilMs, 'watch'),
    handleMissedChanges: () => evacuated.recordMissedChanges(),
    handleOutageEnd: () => evacuated.beginGrace(),
    handleChanges: events => {
      evacuated.applyEvents(events);
      for (const {type, key, value} of events) {
        if (type !== 'put' || key !== configurationKey) continue;
        routeHolder.offerText(value, 'watch');
      }
    },
  });
}

function createRegistryFollower(
  parts: FollowerParts,
  prefix: string,
  watchTiming: WatchTiming,
  {
    registry,
    freshness,
  }: Pick<StoreViewParts, 'registry'> & Pick<StoreView, 'freshness'>,
): StoreFollower {
  return new StoreFollower({
    ...parts,
    range: {...createPrefixRange(prefix), watchTiming},
    handleFullRead: ({keyValues, storeRevision}) =>
      registry.replaceEntries(keyValues, storeRevision, 'store'),
    handlePartialRead: keyValues =>
      registry.applyPartialRead(keyValues, 'store'),
    handleChanges: events => registry.applyEvents(events),
    handleKnownUntil: untilMs =>
      freshness.recordKnown('upstreams', untilMs, 'watch'),
    handleMissedChanges: () => registry.recordMissedChanges(),
    handleOutageEnd: () => registry.beginGrace(),
  });
}
