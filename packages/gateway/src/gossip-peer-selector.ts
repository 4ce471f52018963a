import type {Membership, PeerRecord} from '@hollowstack/peers';
import {chooseSubset} from '@hollowstack/routing';

/** Dependencies of ExchangePartners. */
export interface GossipPeerSelectorParts {
  readonly membership: Membership;
  /** Addresses to ask where no peer is known yet. */
  readonly seeds: readonly string[];
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
}

/** Whom one round of the exchange asks. */
export interface GossipRound {
  /** Asked at once; the first of them is also asked for copies. */
  readonly addresses: readonly string[];
  /** Asked in its place where the first does not answer soon. */
  readonly standby: string | undefined;
}

/** Whom a refresh of the view of the store asks. */
export interface RefreshPeers {
  /** Of another failure domain, where there is any. */
  readonly far: PeerRecord | undefined;
  /** Another one, of the own failure domain if there is any. */
  readonly near: PeerRecord | undefined;
  /** Whether peers of other failure domains are known, reachable or not. */
  readonly hasOtherDomains: boolean;
}

/**
 * Every so many rounds a seed is asked too, which joins groups that know
 * nothing of each other.
 */
const SEEDS_EVERY_ROUNDS = 8;
/** Peers that an instance of a large fleet keeps connections to. */
const NEIGHBOUR_COUNT = 8;
/** Every so many rounds a peer beyond the neighbours is asked. */
const ANY_PEER_EVERY_ROUNDS = 5;

/** Chooses whom an instance compares its copies with. */
export class GossipPeerSelector {
  private readonly parts: GossipPeerSelectorParts;
  private roundCount = 0;

  constructor(parts: GossipPeerSelectorParts) {
    this.parts = parts;
  }

  /** Chooses one peer, or the seeds while no peer is known. */
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

  /** Chooses whom to compare with at once. */
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

  // Connections have a price at both ends, so most rounds go to the same few.
  private listNeighbours(peers: readonly PeerRecord[]): readonly PeerRecord[] {
    if (peers.length <= NEIGHBOUR_COUNT) return peers;
    const own = this.parts.membership.getSelf().id;
    return chooseSubset(own, peers, NEIGHBOUR_COUNT);
  }
}
