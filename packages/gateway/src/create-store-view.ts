import {Membership, PEER_PREFIX, type PeerLink} from '@hollowstack/peers';
import {
  WatchHub,
  createPrefixRange,
  createSingleKeyRange,
  type WatchPace,
} from '@hollowstack/store';
import {RelayServer, RelayedStore} from '@hollowstack/store-relay';
import {CopyExchange} from './copy-exchange.ts';
import type {GatewayEnvironment} from './create-gateway.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import type {RouteHolder} from './route-holder.ts';
import {StoreFollower} from './store-follower.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import {createWatchPace} from './watch-pace.ts';

/** What keeps an instance's view of the store up to date. */
export interface StoreView {
  readonly membership: Membership;
  readonly watchHub: WatchHub;
  readonly followers: readonly StoreFollower[];
  /** Compares what is known with peers. */
  readonly exchange: CopyExchange;
  /** Passes changes on to peers that do not watch the store. */
  readonly relay: RelayServer;
}

/** Dependencies of the view of the store. */
export interface StoreViewParts {
  readonly settings: Pick<
    GatewaySettings,
    'instance' | 'listen' | 'store' | 'peers'
  >;
  readonly environment: Pick<
    GatewayEnvironment,
    'clock' | 'logger' | 'random' | 'store' | 'requestProtocol'
  >;
  readonly link: PeerLink;
  /** Takes configurations. */
  readonly holder: RouteHolder;
  /** Takes registrations of upstreams. */
  readonly registry: UpstreamRegistry;
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

/** Wires what follows the store: the watch, its relay, and the exchange with peers. */
export function createStoreView(parts: StoreViewParts): StoreView {
  const {settings, environment, link, holder, registry} = parts;
  const {clock, logger, random} = environment;
  const {id, failureDomain, cpuShare, cpuSpeed} = settings.instance;
  const {peerAddress, advertisedPeerAddress} = settings.listen;
  const followWithinMs = Math.min(
    settings.store.followWithinMs,
    settings.store.configureWithinMs,
  );
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
    },
    store,
    clock,
    random,
    leaseMs: MEMBER_LEASE_MS,
  });
  const watchPace = createWatchPace({
    followWithinMs,
    getWatcherCount: () => store.countWatchers(),
  });
  const followerParts = {store, clock, random, logger};
  const configurationFollower = createConfigurationFollower(
    followerParts,
    environment.requestProtocol.configurationKey,
    watchPace,
    holder,
  );
  const registryFollower = createRegistryFollower(
    followerParts,
    environment.requestProtocol.upstreamPrefix,
    watchPace,
    registry,
  );
  const watchHub = new WatchHub({
    store,
    clock,
    logger,
    random,
    backoff: WATCH_BACKOFF,
  });
  const followers = [configurationFollower, registryFollower];
  for (const follower of followers) watchHub.addSubscription(follower);
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
  });
  registry.addMissingListener(() => void exchange.runRound());
  const relay = new RelayServer({clock, store});
  return {membership, watchHub, followers, exchange, relay};
}

type FollowerParts = Pick<
  ConstructorParameters<typeof StoreFollower>[0],
  'store' | 'clock' | 'random' | 'logger'
>;

function createConfigurationFollower(
  parts: FollowerParts,
  key: string,
  watchPace: WatchPace,
  holder: RouteHolder,
): StoreFollower {
  return new StoreFollower({
    ...parts,
    range: {...createSingleKeyRange(key), watchPace},
    handleReading: ({keyValues}) => {
      for (const {value} of keyValues) holder.offerText(value, 'store');
    },
    handleChanges: events => {
      for (const {type, value} of events) {
        if (type === 'put') holder.offerText(value, 'watch');
      }
    },
  });
}

function createRegistryFollower(
  parts: FollowerParts,
  prefix: string,
  watchPace: WatchPace,
  registry: UpstreamRegistry,
): StoreFollower {
  return new StoreFollower({
    ...parts,
    range: {...createPrefixRange(prefix), watchPace},
    handleReading: ({keyValues, storeRevision}) =>
      registry.replaceEntries(keyValues, storeRevision, 'store'),
    handleChanges: events => registry.applyEvents(events),
    handleOutageEnd: () => registry.beginGrace(),
  });
}
