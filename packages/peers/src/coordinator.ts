import {listByRendezvous} from '@hollowstack/routing';
import type {Membership} from './membership.ts';
import type {PeerRecord} from './messages.ts';

const COORDINATOR_KEY = 'coordinator';

/**
 * Share of the most processor that an instance needs in order to coordinate;
 * equal machines differ by less in what they report.
 */
const STRONG_SHARE = 0.9;

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
  const isSelfOut = membership.isLeaving() && peers.length > 0;
  const candidates = isSelfOut ? peers : [membership.getSelf(), ...peers];
  const first = findFirst(candidates);
  return peers.find(({id}) => id === first);
}

/**
 * Lists peers of whom nothing was heard yet and who would coordinate in place of
 * the present one, the first of them first. Others need not be asked whether
 * they live.
 *
 * @param banMs Milliseconds for which a peer that did not answer is left alone.
 */
export function listUnconfirmedCandidates(
  membership: Membership,
  banMs: number,
): PeerRecord[] {
  const present = chooseCoordinator(membership) ?? membership.getSelf();
  return membership
    .listUnconfirmedPeers(banMs)
    .filter(peer => getCores(peer) >= STRONG_SHARE * getCores(present))
    .filter(peer => findFirst([peer, present]) === peer.id)
    .sort((left, right) => (findFirst([left, right]) === left.id ? -1 : 1));
}

function findFirst(instances: readonly PeerRecord[]): string {
  return listByRendezvous(COORDINATOR_KEY, listStrongest(instances))[0];
}

// Deciding for all costs more the larger the fleet is, and the smallest
// instances of a fleet may have a fraction of the largest ones' processor.
function listStrongest(instances: readonly PeerRecord[]): string[] {
  const most = Math.max(...instances.map(getCores));
  return instances
    .filter(instance => getCores(instance) >= STRONG_SHARE * most)
    .map(({id}) => id);
}

function getCores({cores}: PeerRecord): number {
  return cores ?? 1;
}
