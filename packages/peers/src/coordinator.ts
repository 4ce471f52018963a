import {listByRendezvous} from '@hollowstack/routing';
import type {Membership} from './membership.ts';
import type {PeerRecord} from './messages.ts';

const COORDINATOR_KEY = 'coordinator';

/**
 * Fraction of the largest number of cores that an instance needs in order to
 * coordinate. The cores that equal machines report differ by less.
 */
const MIN_CORES_RATIO = 0.9;

/**
 * Chooses the coordinator, which makes the decisions that concern the whole fleet. Of this
 * instance and the confirmed peers, those with the most cores are ranked by rendezvous
 * hashing of their ids, and the first coordinates. The rank does not depend on anything
 * that instances learn while they run, so after a loss of all instances, each of them
 * expects the same coordinator as soon as it has read its first member list. Instances that
 * know different peers may choose different coordinators, each of which then decides on
 * incomplete information, with no other effect.
 *
 * @returns The coordinator, or undefined if it is this instance.
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
 * Lists the unconfirmed peers that would replace the current coordinator, the
 * preferred one first. Other peers need not be probed.
 *
 * @param cooldownMs Milliseconds for which a peer that did not answer is left out.
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

// Coordination costs more the larger the fleet is, and the smallest instances of a
// fleet may have only a fraction of the cores of the largest.
function listIdsWithMostCores(instances: readonly PeerRecord[]): string[] {
  const maxCores = Math.max(...instances.map(getCores));
  return instances
    .filter(instance => getCores(instance) >= MIN_CORES_RATIO * maxCores)
    .map(({id}) => id);
}

function getCores({cores}: PeerRecord): number {
  return cores ?? 1;
}
