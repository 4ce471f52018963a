import {listByRendezvous} from '@hollowstack/routing';
import type {Membership} from './membership.ts';
import type {PeerRecord} from './messages.ts';

const COORDINATOR_KEY = 'coordinator';

/**
 * Chooses the instance that decides for all: the first of the reachable ones by
 * rendezvous, so that all agree without asking anybody. While they differ, each
 * decides with less knowledge, and nothing else.
 *
 * @returns undefined where it is this instance.
 */
export function chooseCoordinator(
  membership: Membership,
): PeerRecord | undefined {
  const peers = membership.listReachablePeers();
  const ids = [membership.getSelf().id, ...peers.map(({id}) => id)];
  const [first] = listByRendezvous(COORDINATOR_KEY, ids);
  return peers.find(({id}) => id === first);
}
