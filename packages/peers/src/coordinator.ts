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

/** Request type that an instance names if it plans only the upstreams that it is assigned. */
export const SHARED_PLANNING = 'shared-planning';
const RANKING_KEY = 'coordinator-ranking';
/**
 * Capacity of the live instances, in multiples of a planner's, for which a planner with little
 * processor time plans the stages: it handles several messages for each request of all others.
 */
const INSTANCES_PER_PLANNER = 6;
/** Cores up to which a planner counts as one with little; one with more plans for more instances. */
const LITTLE_CORES = 0.25;

/**
 * Lists the instances that share the planning of stages, in order of rank; this instance may be
 * one of them. A small fleet has one, its coordinator. In a larger one the coordinator keeps its
 * other decisions and those that follow in rank plan.
 */
export function listPlanners(membership: Membership): PeerRecord[] {
  const ranking = listRanking(membership);
  const count = countPlanners(membership);
  if (count === 1 || ranking.length <= count) return ranking.slice(0, count);
  return ranking.slice(1, count + 1);
}

function listRanking(membership: Membership): PeerRecord[] {
  return membership.getCached(RANKING_KEY, () => {
    const candidates = listCandidates(membership);
    const ids = listByRendezvous(
      COORDINATOR_KEY,
      listIdsWithMostCores(candidates),
    );
    const records = new Map(candidates.map(each => [each.id, each]));
    return ids.map(id => records.get(id)!);
  });
}

// Instances of older versions know only one planner. Registered instances that are gone count
// until their registration expires, so that a loss of many does not move all upstreams.
function countPlanners(membership: Membership): number {
  const peers = membership.listPeers();
  const isShared = peers.every(({acceptedRequests}) =>
    acceptedRequests?.includes(SHARED_PLANNING),
  );
  if (!isShared) return 1;
  const cores = [membership.getSelf(), ...peers].map(getCores);
  const sum = cores.reduce((total, each) => total + each, 0);
  const plannerCores = getCores(listRanking(membership)[0]);
  const perPlanner =
    INSTANCES_PER_PLANNER * Math.max(1, plannerCores / LITTLE_CORES);
  return Math.max(1, Math.floor(sum / plannerCores / perPlanner));
}

function listCandidates(membership: Membership): PeerRecord[] {
  const peers = membership.listConfirmedPeers();
  const isSelfExcluded = membership.isLeaving() && peers.length > 0;
  return isSelfExcluded ? peers : [membership.getSelf(), ...peers];
}

function findCoordinator(membership: Membership): PeerRecord | undefined {
  const preferredId = findPreferredId(listCandidates(membership));
  return membership.listConfirmedPeers().find(({id}) => id === preferredId);
}

/**
 * Lists the unconfirmed peers that would replace the current coordinator or one of the current
 * planners, the preferred one first. Other peers need not be probed.
 *
 * @param cooldownMs Milliseconds for which a peer that did not answer is left out.
 */
export function listUnconfirmedCandidates(
  membership: Membership,
  cooldownMs: number,
): PeerRecord[] {
  const current =
    listPlanners(membership).at(-1) ??
    chooseCoordinator(membership) ??
    membership.getSelf();
  const plannerCount = countPlanners(membership);
  const isShort =
    plannerCount > 1 && listRanking(membership).length <= plannerCount;
  return membership
    .listUnconfirmedPeers(cooldownMs)
    .filter(peer => getCores(peer) >= MIN_CORES_RATIO * getCores(current))
    .filter(peer => isShort || findPreferredId([peer, current]) === peer.id)
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
