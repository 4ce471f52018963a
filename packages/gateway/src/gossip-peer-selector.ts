import type {Membership, PeerRecord} from '@hollowstack/peers';
import {chooseSubset} from '@hollowstack/routing';

/** Dependencies of GossipPeerSelector. */
export interface GossipPeerSelectorParts {
  readonly membership: Membership;
  /** Addresses to ask while no peer is reachable. */
  readonly seeds: readonly string[];
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
}

/** The addresses that one gossip round asks. */
export interface GossipRound {
  /** Asked at once; copies are requested only from the first. */
  readonly addresses: readonly string[];
  /** Asked if the first address does not answer soon. */
  readonly standby: string | undefined;
}

/** The peers that a refresh of the store view may ask. */
export interface RefreshPeers {
  /** A peer of another failure domain if one is known, else any known peer. */
  readonly far: PeerRecord | undefined;
  /** A different reachable peer, preferably of this instance's failure domain. */
  readonly near: PeerRecord | undefined;
  /** Whether peers of other failure domains are known, reachable or not. */
  readonly hasOtherDomains: boolean;
}

/** Number of rounds after which a seed is asked as well, to join groups with no common peer. */
const SEEDS_EVERY_ROUNDS = 8;
/** Maximum number of peers that most rounds choose from. */
const NEIGHBOUR_COUNT = 8;
/** Number of rounds after which one round chooses from all peers, not only neighbours. */
const ANY_PEER_EVERY_ROUNDS = 5;

/** Chooses the peers that an instance gossips with. */
export class GossipPeerSelector {
  private readonly parts: GossipPeerSelectorParts;
  private roundCount = 0;

  constructor(parts: GossipPeerSelectorParts) {
    this.parts = parts;
  }

  /** Chooses one reachable peer, sometimes with a seed, or all seeds if none is reachable. */
  chooseForRound(): GossipRound {
    const {membership, random} = this.parts;
    const peers = membership.listReachablePeers();
    const seeds = this.listSeeds();
    this.roundCount += 1;
    if (peers.length === 0) return {addresses: seeds, standby: undefined};
    const isAnyPeerRound = this.roundCount % ANY_PEER_EVERY_ROUNDS === 0;
    const candidates = isAnyPeerRound ? peers : this.listNeighbours(peers);
    const index = Math.floor(random() * candidates.length);
    const addresses = [candidates[index].address];
    if (this.roundCount % SEEDS_EVERY_ROUNDS === 0 && seeds.length > 0) {
      addresses.push(seeds[Math.floor(random() * seeds.length)]);
    }
    const standby = candidates[(index + 1) % candidates.length].address;
    return {
      addresses: [...new Set(addresses)],
      standby: addresses.includes(standby) ? undefined : standby,
    };
  }

  /** Chooses the peers to compare with when the view is refreshed. */
  chooseForRefresh(): RefreshPeers {
    const {membership} = this.parts;
    const own = membership.getSelf().failureDomain;
    const isFar = ({failureDomain}: PeerRecord) => failureDomain !== own;
    const known = membership.listPeers();
    const reachable = membership.listReachablePeers();
    const others = known.filter(isFar);
    const far =
      this.chooseAny(reachable.filter(isFar)) ??
      this.chooseAny(others) ??
      this.chooseAny(known);
    const rest = reachable.filter(({id}) => id !== far?.id);
    const near =
      this.chooseAny(rest.filter(peer => !isFar(peer))) ?? this.chooseAny(rest);
    return {far, near, hasOtherDomains: others.length > 0};
  }

  private chooseAny(peers: readonly PeerRecord[]): PeerRecord | undefined {
    return peers[Math.floor(this.parts.random() * peers.length)];
  }

  private listSeeds(): string[] {
    const {membership, seeds} = this.parts;
    const own = membership.getSelf().address;
    return seeds.filter(address => address !== own);
  }

  // Connections cost resources at both ends, so most rounds choose from the same few peers.
  private listNeighbours(peers: readonly PeerRecord[]): readonly PeerRecord[] {
    if (peers.length <= NEIGHBOUR_COUNT) return peers;
    const own = this.parts.membership.getSelf().id;
    return chooseSubset(own, peers, NEIGHBOUR_COUNT);
  }
}
