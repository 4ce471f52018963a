import {listByRendezvous} from '@hollowstack/routing';
import type {Membership} from './membership.ts';
import type {PeerRecord} from './messages.ts';

const COORDINATOR_KEY = 'coordinator';

/** Share of the most processor that an instance needs in order to coordinate. */
const STRONG_SHARE = 0.9;

/**
 * Chooses the instance that decides for all: of those known to live, and with
 * the most processor, the one that registered first, so that all agree without
 * asking anybody and a restart moves nothing back. Where no registration is known, the first by rendezvous.
 * While instances differ, each decides with less knowledge, and nothing else.
 *
 * @returns undefined where it is this instance.
 */
export function chooseCoordinator(
  membership: Membership,
): PeerRecord | undefined {
  const peers = membership.listConfirmedPeers();
  const self = membership.getSelf();
  const ids = listStrongest([self, ...peers]);
  const first = findOldest(membership, ids) ?? findByRendezvous(ids);
  return peers.find(({id}) => id === first);
}

/**
 * Lists peers of whom nothing was heard yet and who would coordinate in place of
 * the present one, the first of them first. Others need not be asked whether
 * they live.
 */
export function listUnconfirmedRivals(membership: Membership): PeerRecord[] {
  const present = chooseCoordinator(membership) ?? membership.getSelf();
  const getRevision = ({id}: PeerRecord) =>
    membership.getRegistrationRevision(id) ?? Infinity;
  return membership
    .listUnconfirmedPeers()
    .filter(peer => {
      if (getCores(present) < STRONG_SHARE * getCores(peer)) return true;
      const isWeaker = getCores(peer) < STRONG_SHARE * getCores(present);
      return !isWeaker && getRevision(peer) < getRevision(present);
    })
    .sort(
      (left, right) =>
        getCores(right) - getCores(left) ||
        getRevision(left) - getRevision(right),
    );
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

function findOldest(
  membership: Membership,
  ids: readonly string[],
): string | undefined {
  let oldest: string | undefined;
  let oldestRevision = Infinity;
  for (const id of ids) {
    const revision = membership.getRegistrationRevision(id);
    if (revision === undefined || revision >= oldestRevision) continue;
    oldest = id;
    oldestRevision = revision;
  }
  return oldest;
}

function findByRendezvous(ids: readonly string[]): string {
  return listByRendezvous(COORDINATOR_KEY, ids)[0];
}
