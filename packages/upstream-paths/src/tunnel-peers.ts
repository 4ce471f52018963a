import type {Clock} from '@hollowstack/clock';
import type {PeerRecord} from '@hollowstack/peers';

/** Why a peer opened no tunnel; `silent` if it did not reply. */
export type TunnelRefusal = 'no-path' | 'busy' | 'not-accepting' | 'silent';

/** Dependencies of TunnelPeers. */
export interface TunnelPeersParts {
  readonly clock: Clock;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly failureDomain: string;
  /** Lists the live peers. */
  readonly listPeers: () => readonly PeerRecord[];
}

/** Milliseconds for which a peer is not asked again after a refusal. */
const COOLDOWN_MS: Readonly<Record<TunnelRefusal, number>> = {
  'no-path': 1000,
  busy: 100,
  'not-accepting': 0,
  silent: 1000,
};
/** Number of open tunnels that outweighs the bytes between failure domains. */
const OTHER_DOMAIN_COST = 4;
/** Number of open tunnels that outweighs the time to ask a peer that may have no path either. */
const UNPROVEN_COST = 8;

/** Chooses the peers that forward connections to upstreams. */
export class TunnelPeers {
  private readonly parts: TunnelPeersParts;
  /** Peers that opened the last tunnel that they were asked for. */
  private readonly proven = new Set<string>();
  private readonly askAgainAtMs = new Map<string, number>();
  private readonly openCounts = new Map<string, number>();

  constructor(parts: TunnelPeersParts) {
    this.parts = parts;
  }

  /** Returns whether there are peers at all. */
  hasPeers(): boolean {
    return this.parts.listPeers().length > 0;
  }

  /**
   * Chooses a peer that may be asked now: the one with the fewest tunnels of this instance,
   * preferably one that has a path, and of the own failure domain.
   */
  choosePeer(excluded: ReadonlySet<string>): PeerRecord | undefined {
    const {failureDomain, random} = this.parts;
    const costs = this.listAvailable()
      .filter(({id}) => !excluded.has(id))
      .map(peer => {
        const isOther = peer.failureDomain !== failureDomain;
        const open = this.openCounts.get(peer.id) ?? 0;
        const cost =
          open +
          (isOther ? OTHER_DOMAIN_COST : 0) +
          (this.proven.has(peer.id) ? 0 : UNPROVEN_COST);
        return {peer, cost: cost + random()};
      });
    costs.sort((left, right) => left.cost - right.cost);
    return costs[0]?.peer;
  }

  /** Returns whether no peer may be asked now. */
  isExhausted(): boolean {
    return this.listAvailable().length === 0;
  }

  /** Records that a peer opened a tunnel; the returned function records its end. */
  recordOpened(id: string): () => void {
    this.askAgainAtMs.delete(id);
    this.proven.add(id);
    this.openCounts.set(id, (this.openCounts.get(id) ?? 0) + 1);
    return () => {
      const left = (this.openCounts.get(id) ?? 1) - 1;
      if (left > 0) this.openCounts.set(id, left);
      else this.openCounts.delete(id);
    };
  }

  /** Records that a peer opened no tunnel. */
  recordRefusal(id: string, refusal: TunnelRefusal): void {
    const nowMs = this.parts.clock.getNow();
    this.proven.delete(id);
    this.askAgainAtMs.set(id, nowMs + COOLDOWN_MS[refusal]);
  }

  private listAvailable(): PeerRecord[] {
    const nowMs = this.parts.clock.getNow();
    return this.parts
      .listPeers()
      .filter(({id}) => nowMs >= (this.askAgainAtMs.get(id) ?? -Infinity));
  }
}
