import type {PeerRecord} from '@hollowstack/peers';
import {listByRendezvous} from '@hollowstack/routing';

/**
 * Instances of each failure domain that watch the store themselves. Two can be
 * lost at the same moment before anyone of the domain has to ask another one;
 * a fleet of nine over three domains has no others.
 */
const WATCHERS_PER_DOMAIN = 3;
/** Watchers of other failure domains that are asked after those of one's own. */
const MAX_REMOTE_SOURCES = 2;

const WATCHER_KEY = 'store-watcher';

/**
 * Chooses the instances that watch the store: in each failure domain those with
 * the most processor, and among equals the first by rendezvous over the names.
 * Instances that know of different peers may choose differently; a chosen one
 * that does not watch says so when it is asked.
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
 * Lists the watchers that an instance takes changes from, the ones to ask first
 * in front: those of its own failure domain, since bytes between domains have a
 * price, then some of others. Each instance has an order of its own, so that
 * they spread over the watchers.
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
