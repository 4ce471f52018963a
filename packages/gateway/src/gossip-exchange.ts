import type {PeerReach} from '@hollowstack/freshness';
import {
  RepeatingTask,
  waitFor,
  type Clock,
  type Timer,
} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  TextPacker,
  decodeText,
  type CopyWishes,
  type PackedText,
  type PeerLink,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import {ExchangePartners} from './exchange-partners.ts';
import {PeerNews} from './peer-news.ts';
import {
  SharedKnowledge,
  type SharedKnowledgeParts,
} from './shared-knowledge.ts';

/** How far a peer is, as far as it tells. */
type PeerRevisions = Pick<
  Extract<PeerReply, {type: 'copy'}>,
  'configurationRevision' | 'storeRevision' | 'isDigestOther' | 'isProvisional'
>;

/** What the exchange works with. */
export interface CopyExchangeParts extends SharedKnowledgeParts {
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly random: () => number;
  /** Addresses to ask where no peer is known yet. */
  readonly seeds: readonly string[];
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
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
 * Part of the time in which changes must be in force after which a second peer
 * is asked where the first has not answered: its stream may have fallen silent.
 */
const STANDBY_SHARE = 0.15;
/**
 * Part of it for which the store's watch is given its time before a peer sends a
 * copy. Two rounds at the most, the standby and this patience leave a tenth for
 * the copy itself.
 */
const PATIENCE_SHARE = 0.2;
/**
 * Milliseconds after an upstream's own word that it leaves before peers are told. A
 * store that works tells all of them within 2 to 12 ms (27 changes at nine gateways).
 */
const TELL_AFTER_MS = 100;
const COPIES: CopyWishes = {
  configuration: true,
  upstreams: true,
  members: false,
  packed: true,
};
const NO_WISHES: CopyWishes = {
  configuration: false,
  upstreams: false,
  members: false,
  packed: true,
};
/**
 * Compares with one peer at a time what each knows of configuration and
 * upstreams, so that an instance which the store turns away, or which starts in
 * an outage, has both from its peers. The cost does not grow with the fleet.
 */
export class CopyExchange {
  private readonly parts: CopyExchangeParts;
  private readonly task: RepeatingTask;
  private readonly partners: ExchangePartners;
  private readonly knowledge: SharedKnowledge;
  private readonly configurationNews: PeerNews;
  private readonly upstreamNews: PeerNews;
  private readonly roundMs: number;
  private readonly patienceMs: number;
  private readonly packer = new TextPacker();
  private newsTimer: Timer | undefined;
  private tellTimer: Timer | undefined;

  constructor(parts: CopyExchangeParts) {
    this.parts = parts;
    this.partners = new ExchangePartners(parts);
    this.knowledge = new SharedKnowledge(parts);
    this.roundMs = parts.followWithinMs * ROUND_SHARE;
    this.patienceMs = parts.followWithinMs * PATIENCE_SHARE;
    this.configurationNews = new PeerNews(this.patienceMs);
    this.upstreamNews = new PeerNews(this.patienceMs);
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
    this.tellTimer?.cancel();
  }

  /**
   * Has peers told soon of what only instances know: upstreams that leave by their own
   * word, unless the store says so meanwhile, and requests that crash upstreams. Each peer
   * that learns of one does the same, so that the news is with 90 instances after some
   * seven such pauses and not as many rounds.
   */
  scheduleTelling(): void {
    if (this.tellTimer) return;
    this.tellTimer = this.parts.clock.schedule(TELL_AFTER_MS, () => {
      this.tellTimer = undefined;
      if (this.knowledge.hasUnstored()) void this.runRound();
    });
  }

  /** Asks one peer, or the seeds while no peer is known. */
  async runRound(): Promise<void> {
    const {addresses, standby} = this.partners.chooseRound();
    const wishes = this.listWishes();
    const asked = addresses.map((address, index) =>
      index === 0
        ? this.askWithStandby(address, standby, wishes)
        : this.askPeer(address, NO_WISHES),
    );
    // A peer that is gone must not hold up the next round.
    await Promise.race([
      Promise.all(asked),
      waitFor(this.parts.clock, this.roundMs),
    ]);
  }

  /**
   * Compares with a peer at once and takes what it knows beyond this instance.
   *
   * @param which One of another failure domain, or another one beside it.
   */
  async refreshView(which: 'far' | 'near'): Promise<PeerReach> {
    const {membership} = this.parts;
    const partners = this.partners.chooseForRefresh();
    const peer = partners[which];
    if (!peer || !(await this.askPeer(peer.address, COPIES))) return 'none';
    const own = membership.getSelf().failureDomain;
    const isFar = peer.failureDomain !== own || !partners.hasOtherDomains;
    return isFar ? 'far' : 'near';
  }

  /** Answers a peer's question. */
  answerCopy(asked: Extract<PeerRequest, {type: 'copy'}>): PeerReply {
    const {holder, registry, membership} = this.parts;
    const {wishes} = asked;
    const isConfigurationNews =
      holder.getRevision() > asked.configurationRevision;
    const isDigestOther = registry.getDigest() !== asked.digest;
    this.knowledge.recordMessage(asked, asked.self.address);
    // Whoever asks may know more than the one that is asked.
    if (!asked.isLeaving) {
      this.recordNews({...asked, isDigestOther});
      this.scheduleNewsCheck(asked.self.address);
    }
    const areUpstreamsNews =
      registry.getStoreRevision() > asked.storeRevision && isDigestOther;
    return {
      type: 'copy',
      ...this.knowledge.createMessage(),
      viewOffsetsMs: this.knowledge.computeViewOffsets(
        this.parts.clock.getNow(),
      ),
      isDigestOther,
      configurationText:
        wishes.configuration && isConfigurationNews
          ? this.packer.encodeText(holder.getText(), wishes.packed)
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
      packed: true,
    };
  }

  private async askWithStandby(
    address: string,
    standby: string | undefined,
    wishes: CopyWishes,
  ): Promise<void> {
    const {clock, followWithinMs} = this.parts;
    const asked = this.askPeer(address, wishes);
    if (standby === undefined) {
      await asked;
      return;
    }
    const isAnswered = await Promise.race([
      asked,
      waitFor(clock, followWithinMs * STANDBY_SHARE).then(() => false),
    ]);
    if (!isAnswered) await this.askPeer(standby, wishes);
  }

  // Resolves to whether the peer has answered.
  private async askPeer(address: string, wishes: CopyWishes): Promise<boolean> {
    const {clock, link, membership, registry} = this.parts;
    const askedAtMs = clock.getNow();
    const reply = await link
      .sendRequest(
        address,
        {
          type: 'copy',
          ...this.knowledge.createMessage(),
          digest: registry.getDigest(),
          wishes,
        },
        wishes.configuration || wishes.upstreams ? COPY_TIMEOUT_MS : TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type !== 'copy') {
      this.recordUnreachable(address);
      return false;
    }
    const source = `peer ${address}`;
    this.knowledge.recordMessage(reply, address);
    this.recordNews(reply);
    if (wishes.upstreams && !reply.isDigestOther) {
      this.upstreamNews.removeNews();
    }
    this.scheduleNewsCheck(address);
    if (reply.configurationText !== undefined) {
      this.offerConfiguration(reply.configurationText, source);
    }
    const isCopied =
      reply.upstreams !== undefined &&
      registry.applyCopy(reply.upstreams, source);
    this.knowledge.recordComparison(reply, {askedAtMs, isCopied, source});
    // Its upstreams are the same without those that are missing here.
    if (!reply.isProvisional && !reply.isDigestOther) {
      registry.endGraceOfMissing(source);
    }
    for (const member of reply.members ?? []) membership.addPeer(member);
    return true;
  }

  private offerConfiguration(packed: PackedText, source: string): void {
    const {holder, logger} = this.parts;
    try {
      holder.offerText(decodeText(packed), source);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const inForce = holder.getRevision();
      logger.logEvent('routes.unreadable', {source, reason, inForce});
    }
  }

  // What one peer has and the watch has not brought in its time is asked for at
  // once, from the peer that has it: the next round might meet one that is gone.
  private scheduleNewsCheck(address: string): void {
    if (this.newsTimer || !this.hasNews()) return;
    const {clock} = this.parts;
    this.newsTimer = clock.schedule(this.patienceMs, () => {
      this.newsTimer = undefined;
      if (this.hasNews()) void this.askPeer(address, this.listWishes());
    });
  }

  private hasNews(): boolean {
    const {holder, registry} = this.parts;
    return (
      this.configurationNews.isNewerThan(holder.getRevision()) ||
      this.upstreamNews.isNewerThan(registry.getStoreRevision())
    );
  }

  private recordNews(peer: PeerRevisions): void {
    const {holder, registry, clock} = this.parts;
    const nowMs = clock.getNow();
    this.configurationNews.recordRevision(
      peer.configurationRevision,
      holder.getRevision(),
      nowMs,
    );
    // One in its grace sends no copy of its upstreams.
    if (!peer.isDigestOther || peer.isProvisional) return;
    this.upstreamNews.recordRevision(
      peer.storeRevision,
      registry.getStoreRevision(),
      nowMs,
    );
  }

  private recordUnreachable(address: string): void {
    const {membership} = this.parts;
    const peer = membership
      .listPeers()
      .find(candidate => candidate.address === address);
    if (peer) membership.recordUnreachable(peer.id);
  }
}
