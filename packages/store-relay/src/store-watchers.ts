import type {PeerRecord} from '@hollowstack/peers';
import {listByRendezvous} from '@hollowstack/routing';

/**
 * Instances of each failure domain that watch the store. Two of them can fail at the same
 * time before the others in the domain have to ask another domain. In a fleet of nine over
 * three domains, all instances watch.
 */
const WATCHERS_PER_DOMAIN = 3;
/** Watchers in other failure domains that are asked after those in the own domain. */
const MAX_REMOTE_SOURCES = 2;

const WATCHER_KEY = 'store-watcher';

/**
 * Chooses the instances that watch the store: in each failure domain those with the most
 * cores, and among equals the first by rendezvous hashing of the ids. Instances that know
 * different peers may choose differently; a chosen instance that does not watch replies
 * that it is unavailable.
 */
export function chooseStoreWatchers(
  instances: readonly PeerRecord[],
): PeerRecord[] {
  const byDomain = new Map<string, PeerRecord[]>();
  for (const instance of instances) {
    const domain = byDomain.get(instance.failureDomain) ?? [];
    domain.push(instance);
    byDomain.set(instance.failureDomain, domain);
  }
  return [...byDomain.values()].flatMap(domain =>
    listByRank(domain).slice(0, WATCHERS_PER_DOMAIN),
  );
}

/**
 * Lists the watchers from which an instance receives changes, in order of preference:
 * those in its own failure domain, since traffic between domains has a cost, then some in
 * other domains. The order differs between instances, so that they spread over the
 * watchers.
 */
export function listRelaySources(
  self: PeerRecord,
  watchers: readonly PeerRecord[],
): PeerRecord[] {
  const byId = new Map(watchers.map(watcher => [watcher.id, watcher]));
  byId.delete(self.id);
  const ordered = listByRendezvous(self.id, [...byId.keys()]).map(id =>
    byId.get(id)!,
  );
  const isLocal = ({failureDomain}: PeerRecord) =>
    failureDomain === self.failureDomain;
  const remote = ordered.filter(watcher => !isLocal(watcher));
  return [...ordered.filter(isLocal), ...remote.slice(0, MAX_REMOTE_SOURCES)];
}

function listByRank(instances: readonly PeerRecord[]): PeerRecord[] {
  const byId = new Map(instances.map(instance => [instance.id, instance]));
  return listByRendezvous(WATCHER_KEY, [...byId.keys()])
    .map(id => byId.get(id)!)
    .sort((left, right) => (right.cores ?? 1) - (left.cores ?? 1));
}
