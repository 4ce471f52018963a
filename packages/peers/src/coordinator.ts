import {listByRendezvous} from '@hollowstack/routing';
import type {Membership} from './membership.ts';
import type {PeerRecord} from './messages.ts';

const COORDINATOR_KEY = 'coordinator';

/**
 * Share of the most processor that an instance needs in order to coordinate;
 * equal machines differ by less in what they report.
 */
const MIN_CORES_RATIO = 0.9;

/**
 * Chooses the instance that decides for all: of those known to live and with
 * the most processor, the first by rendezvous over the names. The rank needs
 * nothing that is learnt only once instances run, so that after the loss of all
 * of them every one of them expects the same coordinator from its first list on.
 * While instances know of different peers, each decides with less knowledge,
 * and nothing else.
 *
 * @returns undefined where it is this instance.
 */
export function chooseCoordinator(
  membership: Membership,
): PeerRecord | undefined {
  return membership.getCached(COORDINATOR_KEY, () =>
    findCoordinator(membership),
  );
}

function findCoordinator(membership: Membership): PeerRecord | undefined {
  const peers = membership.listConfirmedPeers();
  const isSelfExcluded = membership.isLeaving() && peers.length > 0;
  const candidates = isSelfExcluded ? peers : [membership.getSelf(), ...peers];
  const preferredId = findPreferredId(candidates);
  return peers.find(({id}) => id === preferredId);
}

/**
 * Lists peers of whom nothing was heard yet and who would coordinate in place of
 * the present one, the first of them first. Others need not be asked whether
 * they live.
 *
 * @param cooldownMs Milliseconds for which a peer that did not answer is left alone.
 */
export function listUnconfirmedCandidates(
  membership: Membership,
  cooldownMs: number,
): PeerRecord[] {
  const current = chooseCoordinator(membership) ?? membership.getSelf();
  return membership
    .listUnconfirmedPeers(cooldownMs)
    .filter(peer => getCores(peer) >= MIN_CORES_RATIO * getCores(current))
    .filter(peer => findPreferredId([peer, current]) === peer.id)
    .sort((left, right) =>
      findPreferredId([left, right]) === left.id ? -1 : 1,
    );
}

function findPreferredId(instances: readonly PeerRecord[]): string {
  return listByRendezvous(COORDINATOR_KEY, listIdsWithMostCores(instances))[0];
}

// Deciding for all costs more the larger the fleet is, and the smallest
// instances of a fleet may have a fraction of the largest ones' processor.
function listIdsWithMostCores(instances: readonly PeerRecord[]): string[] {
  const maxCores = Math.max(...instances.map(getCores));
  return instances
    .filter(instance => getCores(instance) >= MIN_CORES_RATIO * maxCores)
    .map(({id}) => id);
}

function getCores({cores}: PeerRecord): number {
  return cores ?? 1;
}
