import {
  RepeatingTask,
  waitFor,
  type Clock,
  type Timer,
} from '@hollowstack/clock';
import {
  type CopyWishes,
  type Membership,
  type PeerLink,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import {chooseSubset} from '@hollowstack/routing';
import {PeerNews} from './peer-news.ts';
import type {RouteHolder} from './route-holder.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';

/** The store's watch on the configuration, as the exchange sees it. */
export interface ConfigurationWatch {
  /** Returns when it last brought something, on the clock of the exchange. */
  readonly getLastChangeMs: () => number;
  /** Opens it anew, on a connection of its own. */
  readonly refresh: () => void;
}

/** What the exchange works with. */
export interface CopyExchangeParts {
  readonly link: PeerLink;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: () => number;
  /** Addresses to ask where no peer is known yet. */
  readonly seeds: readonly string[];
  readonly holder: RouteHolder;
  readonly registry: UpstreamRegistry;
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
  /** The store's watch, as far as it concerns the configuration. */
  readonly watch: ConfigurationWatch;
}

/**
 * Part of the time in which changes must be in force that lies between rounds;
 * two of them fit in it, and the question that follows.
 */
const ROUND_SHARE = 0.35;
/** Milliseconds for an answer without a copy; some hundred round trips. */
const TIMEOUT_MS = 700;
/** A whole copy takes its time on a thin link. */
const COPY_TIMEOUT_MS = 2000;
/**
 * Every so many rounds a seed is asked too, which joins groups that know
 * nothing of each other. A guess.
 */
const SEEDS_EVERY_ROUNDS = 8;
/** Milliseconds that the store's watch is given before a peer sends a copy. */
const STORE_PATIENCE_MS = 600;
/**
 * Milliseconds after the news was due by which the watch must have brought it.
 * A watch may gather changes for a third of the time in which they must be in
 * force, so it is taken for dead only then.
 */
const WATCH_PATIENCE_MS = 700;
const NO_WISHES: CopyWishes = {
  configuration: false,
  upstreams: false,
  members: false,
};
/** Peers that an instance of a large fleet keeps connections to. */
const NEIGHBOUR_COUNT = 8;
/** Every so many rounds a peer beyond the neighbours is asked. */
const FAR_EVERY_ROUNDS = 5;

/**
 * Compares with one peer at a time what each knows of configuration and
 * upstreams, so that an instance which the store turns away, or which starts in
 * an outage, has both from its peers. The cost does not grow with the fleet.
 */
export class CopyExchange {
  private readonly parts: CopyExchangeParts;
  private readonly task: RepeatingTask;
  private readonly configurationNews = new PeerNews(STORE_PATIENCE_MS);
  private readonly upstreamNews = new PeerNews(STORE_PATIENCE_MS);
  private readonly roundMs: number;
  private round = 0;
  private newsTimer: Timer | undefined;

  constructor(parts: CopyExchangeParts) {
    this.parts = parts;
    this.roundMs = parts.followWithinMs * ROUND_SHARE;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.runRound();
      return this.roundMs;
    });
  }

  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
    this.newsTimer?.cancel();
  }

  /** Asks one peer, or the seeds while no peer is known. */
  async runRound(): Promise<void> {
    const addresses = this.chooseAddresses();
    const wishes = this.listWishes();
    const asked = addresses.map((address, index) =>
      this.askPeer(address, index === 0 ? wishes : NO_WISHES),
    );
    // A peer that is gone must not hold up the next round.
    await Promise.race([
      Promise.all(asked),
      waitFor(this.parts.clock, this.roundMs),
    ]);
  }

  /** Answers a peer's question. */
  answerCopy(asked: Extract<PeerRequest, {type: 'copy'}>): PeerReply {
    const {holder, registry, membership} = this.parts;
    const {wishes} = asked;
    this.recordPeer(asked);
    const isConfigurationNews =
      holder.getRevision() > asked.configurationRevision;
    const isDigestOther = registry.getDigest() !== asked.digest;
    const areUpstreamsNews =
      registry.getStoreRevision() > asked.storeRevision && isDigestOther;
    return {
      type: 'copy',
      self: membership.getSelf(),
      isLeaving: membership.isLeaving(),
      configurationRevision: holder.getRevision(),
      storeRevision: registry.getStoreRevision(),
      isDigestOther,
      configurationText:
        wishes.configuration && isConfigurationNews
          ? holder.getText()
          : undefined,
      upstreams:
        wishes.upstreams && areUpstreamsNews
          ? registry.createCopy()
          : undefined,
      members: wishes.members
        ? [membership.getSelf(), ...membership.listPeers()]
        : undefined,
    };
  }

  private listWishes(): CopyWishes {
    const {holder, registry, membership, clock} = this.parts;
    const nowMs = clock.getNow();
    return {
      configuration: this.configurationNews.isDue(holder.getRevision(), nowMs),
      upstreams: this.upstreamNews.isDue(registry.getStoreRevision(), nowMs),
      members: membership.listPeers().length === 0,
    };
  }

  private chooseAddresses(): string[] {
    const {membership, seeds, random} = this.parts;
    const peers = membership.listReachablePeers();
    const own = membership.getSelf().address;
    const others = seeds.filter(address => address !== own);
    this.round += 1;
    if (peers.length === 0) return others;
    const isFar = this.round % FAR_EVERY_ROUNDS === 0;
    const near = isFar ? peers : this.listNeighbours(peers);
    const peer = near[Math.floor(random() * near.length)];
    const chosen = [peer.address];
    if (this.round % SEEDS_EVERY_ROUNDS === 0 && others.length > 0) {
      chosen.push(others[Math.floor(random() * others.length)]);
    }
    return [...new Set(chosen)];
  }

  // Connections have a price at both ends, so most rounds go to the same few.
  private listNeighbours(peers: readonly PeerRecord[]): readonly PeerRecord[] {
    if (peers.length <= NEIGHBOUR_COUNT) return peers;
    const own = this.parts.membership.getSelf().id;
    return chooseSubset(own, peers, NEIGHBOUR_COUNT);
  }

  private async askPeer(address: string, wishes: CopyWishes): Promise<void> {
    const {link, membership, holder, registry} = this.parts;
    const reply = await link
      .sendRequest(
        address,
        {
          type: 'copy',
          self: membership.getSelf(),
          isLeaving: membership.isLeaving(),
          configurationRevision: holder.getRevision(),
          storeRevision: registry.getStoreRevision(),
          digest: registry.getDigest(),
          wishes,
        },
        wishes.configuration || wishes.upstreams ? COPY_TIMEOUT_MS : TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type !== 'copy') {
      this.recordUnreachable(address);
      return;
    }
    const source = `peer ${address}`;
    this.recordPeer(reply);
    this.recordRevisions(reply, wishes);
    this.scheduleNewsCheck(address);
    if (reply.configurationText !== undefined) {
      holder.offerText(reply.configurationText, source);
    }
    if (reply.upstreams) {
      const {entries, storeRevision} = reply.upstreams;
      registry.replaceEntries(entries, storeRevision, source);
    }
    for (const member of reply.members ?? []) membership.addPeer(member);
  }

  // What one peer has and the watch has not brought in its time is asked for at
  // once, from the peer that has it: the next round might meet one that is gone.
  private scheduleNewsCheck(address: string): void {
    if (this.newsTimer || !this.hasNews()) return;
    const {clock} = this.parts;
    this.newsTimer = clock.schedule(STORE_PATIENCE_MS, () => {
      this.newsTimer = undefined;
      if (this.hasNews()) void this.askForNews(address);
    });
  }

  private hasNews(): boolean {
    const {holder, registry} = this.parts;
    return (
      this.configurationNews.isNewerThan(holder.getRevision()) ||
      this.upstreamNews.isNewerThan(registry.getStoreRevision())
    );
  }

  private async askForNews(address: string): Promise<void> {
    const {clock, holder} = this.parts;
    const revision = holder.getRevision();
    if (this.configurationNews.isNewerThan(revision)) {
      const heardAtMs = clock.getNow() - STORE_PATIENCE_MS;
      clock.schedule(WATCH_PATIENCE_MS, () => this.checkWatch(heardAtMs));
    }
    await this.askPeer(address, this.listWishes());
  }

  // A watch whose connection was silenced says nothing until it times out, long
  // after the store is well again.
  private checkWatch(heardAtMs: number): void {
    const {watch} = this.parts;
    if (watch.getLastChangeMs() < heardAtMs) watch.refresh();
  }

  private recordRevisions(
    reply: Extract<PeerReply, {type: 'copy'}>,
    wishes: CopyWishes,
  ): void {
    const {holder, registry, clock} = this.parts;
    const nowMs = clock.getNow();
    this.configurationNews.recordRevision(
      reply.configurationRevision,
      holder.getRevision(),
      nowMs,
    );
    if (reply.isDigestOther) {
      this.upstreamNews.recordRevision(
        reply.storeRevision,
        registry.getStoreRevision(),
        nowMs,
      );
    } else if (wishes.upstreams) {
      this.upstreamNews.removeNews();
    }
  }

  // One that stops still answers, but nothing new must go to it.
  private recordPeer(peer: {self: PeerRecord; isLeaving: boolean}): void {
    const {membership} = this.parts;
    if (peer.isLeaving) membership.recordUnreachable(peer.self.id);
    else membership.recordHeard(peer.self);
  }

  private recordUnreachable(address: string): void {
    const {membership} = this.parts;
    const peer = membership
      .listPeers()
      .find(candidate => candidate.address === address);
    if (peer) membership.recordUnreachable(peer.id);
  }
}
