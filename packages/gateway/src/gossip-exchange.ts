import type {PeerReach} from '@hollowstack/freshness';
import {
  RepeatingTask,
  waitFor,
  type Clock,
  type Timer,
} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  TextCompressor,
  decodeText,
  type RequestedCopies,
  type CompressedText,
  type PeerLink,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import {GossipPeerSelector} from './gossip-peer-selector.ts';
import {PendingPeerRevision} from './pending-peer-revision.ts';
import {GossipState, type GossipStateParts} from './gossip-state.ts';

/** The revisions that a peer reports, and how its upstreams compare. */
type PeerRevisions = Pick<
  Extract<PeerReply, {type: 'copy'}>,
  'configurationRevision' | 'storeRevision' | 'isDigestOther' | 'isProvisional'
>;

/** Dependencies of GossipExchange. */
export interface GossipExchangeParts extends GossipStateParts {
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly random: () => number;
  /** Addresses to ask while no peer is reachable. */
  readonly seeds: readonly string[];
  /** Milliseconds within which a change must be in force on this instance. */
  readonly followWithinMs: number;
}

/** Interval between rounds as a share of `followWithinMs`; two rounds and a request fit in it. */
const ROUND_SHARE = 0.35;
/** Time-out of a reply without copies; about a hundred round trips. */
const REPLY_TIMEOUT_MS = 700;
/** Time-out of a reply with copies, which are slow over a link of low bandwidth. */
const COPY_TIMEOUT_MS = 2000;
/**
 * Share of `followWithinMs` after which a second peer is asked if the first has not
 * answered, since its stream may have become unresponsive.
 */
const STANDBY_SHARE = 0.15;
/**
 * Share of `followWithinMs` for which the store's watch may bring a change before a copy
 * is requested from a peer. At most two rounds, which include the wait for the standby, and
 * this delay leave a tenth for the copy itself.
 */
const COPY_DELAY_SHARE = 0.2;
/**
 * Milliseconds before peers are notified of an upstream that reported that it leaves; a working
 * store notifies them earlier.
 */
const PROPAGATION_DELAY_MS = 100;
const VIEW_COPIES: RequestedCopies = {
  configuration: true,
  upstreams: true,
  members: false,
  packed: true,
};
const NO_COPIES: RequestedCopies = {
  configuration: false,
  upstreams: false,
  members: false,
  packed: true,
};
/**
 * Compares configuration and upstreams with one peer per round, so that an instance which
 * the store refuses, or which starts during an outage, gets both from its peers. The cost
 * per instance does not grow with the fleet.
 */
export class GossipExchange {
  private readonly parts: GossipExchangeParts;
  private readonly task: RepeatingTask;
  private readonly peerSelector: GossipPeerSelector;
  private readonly state: GossipState;
  private readonly pendingConfiguration: PendingPeerRevision;
  private readonly pendingUpstreams: PendingPeerRevision;
  private readonly roundMs: number;
  private readonly copyDelayMs: number;
  private readonly compressor = new TextCompressor();
  private copyTimer: Timer | undefined;
  private propagationTimer: Timer | undefined;

  constructor(parts: GossipExchangeParts) {
    this.parts = parts;
    this.peerSelector = new GossipPeerSelector(parts);
    this.state = new GossipState(parts);
    this.roundMs = parts.followWithinMs * ROUND_SHARE;
    this.copyDelayMs = parts.followWithinMs * COPY_DELAY_SHARE;
    this.pendingConfiguration = new PendingPeerRevision(this.copyDelayMs);
    this.pendingUpstreams = new PendingPeerRevision(this.copyDelayMs);
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
    this.copyTimer?.cancel();
    this.propagationTimer?.cancel();
  }

  /**
   * Schedules an early round to propagate reports that are not in the store: upstreams that
   * reported that they leave, unless the store lists them as leaving by then, requests that
   * crash upstreams, and limits. Each peer that receives a new report does the same, so that
   * 90 instances have it after about seven such delays instead of as many rounds.
   */
  schedulePropagation(): void {
    if (this.propagationTimer) return;
    this.propagationTimer = this.parts.clock.schedule(
      PROPAGATION_DELAY_MS,
      () => {
        this.propagationTimer = undefined;
        if (this.state.hasUnstoredReports()) void this.runRound();
      },
    );
  }

  /** Asks one peer, or all seeds if no peer is reachable; every few rounds a seed as well. */
  async runRound(): Promise<void> {
    const {addresses, standby} = this.peerSelector.chooseForRound();
    const requestedCopies = this.getDueCopies();
    const pendingReplies = addresses.map((address, index) =>
      index === 0
        ? this.askWithStandby(address, standby, requestedCopies)
        : this.askPeer(address, NO_COPIES),
    );
    // An unresponsive peer must not delay the next round.
    await Promise.race([
      Promise.all(pendingReplies),
      waitFor(this.parts.clock, this.roundMs),
    ]);
  }

  /**
   * Compares with a peer at once and applies what it has and this instance lacks.
   *
   * @param which `far` for a peer of another failure domain; `near` for a different peer,
   * preferably of the same failure domain.
   * @returns The kind of peer that answered, or `none`.
   */
  async refreshView(which: 'far' | 'near'): Promise<PeerReach> {
    const {membership} = this.parts;
    const peers = this.peerSelector.chooseForRefresh();
    const peer = peers[which];
    if (!peer || !(await this.askPeer(peer.address, VIEW_COPIES)))
      return 'none';
    const own = membership.getSelf().failureDomain;
    const isFar = peer.failureDomain !== own || !peers.hasOtherDomains;
    return isFar ? 'far' : 'near';
  }

  /** Answers a peer's `copy` request with the copies that it asked for and lacks. */
  answerCopy(request: Extract<PeerRequest, {type: 'copy'}>): PeerReply {
    const {routeHolder, registry, membership} = this.parts;
    const {wishes: requestedCopies} = request;
    const hasNewerConfiguration =
      routeHolder.getRevision() > request.configurationRevision;
    const isDigestOther = registry.getDigest() !== request.digest;
    this.state.recordMessage(request, request.self.address);
    // The requesting peer may have newer state than this instance.
    if (!request.isLeaving) {
      this.recordPeerRevisions({...request, isDigestOther});
      this.scheduleCopyRequest(request.self.address);
    }
    const hasNewerUpstreams =
      registry.getStoreRevision() > request.storeRevision && isDigestOther;
    return {
      type: 'copy',
      ...this.state.createMessage(),
      viewOffsetsMs: this.state.computeViewOffsets(this.parts.clock.getNow()),
      isDigestOther,
      configurationText:
        requestedCopies.configuration && hasNewerConfiguration
          ? this.compressor.encodeText(
              routeHolder.getText(),
              requestedCopies.packed,
            )
          : undefined,
      upstreams:
        requestedCopies.upstreams && hasNewerUpstreams
          ? registry.createCopy()
          : undefined,
      members: requestedCopies.members
        ? [membership.getSelf(), ...membership.listPeers()]
        : undefined,
    };
  }

  private getDueCopies(): RequestedCopies {
    const {routeHolder, registry, membership, clock} = this.parts;
    const nowMs = clock.getNow();
    return {
      configuration: this.pendingConfiguration.isDue(
        routeHolder.getRevision(),
        nowMs,
      ),
      upstreams: this.pendingUpstreams.isDue(
        registry.getStoreRevision(),
        nowMs,
      ),
      members: membership.listPeers().length === 0,
      packed: true,
    };
  }

  private async askWithStandby(
    address: string,
    standby: string | undefined,
    requestedCopies: RequestedCopies,
  ): Promise<void> {
    const {clock, followWithinMs} = this.parts;
    const firstReply = this.askPeer(address, requestedCopies);
    if (standby === undefined) {
      await firstReply;
      return;
    }
    const isAnswered = await Promise.race([
      firstReply,
      waitFor(clock, followWithinMs * STANDBY_SHARE).then(() => false),
    ]);
    if (!isAnswered) await this.askPeer(standby, requestedCopies);
  }

  // Resolves to true if the peer answered.
  private async askPeer(
    address: string,
    requestedCopies: RequestedCopies,
  ): Promise<boolean> {
    const {clock, link, membership, registry} = this.parts;
    const askedAtMs = clock.getNow();
    const reply = await link
      .sendRequest(
        address,
        {
          type: 'copy',
          ...this.state.createMessage(),
          digest: registry.getDigest(),
          wishes: requestedCopies,
        },
        requestedCopies.configuration || requestedCopies.upstreams
          ? COPY_TIMEOUT_MS
          : REPLY_TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type !== 'copy') {
      const isBusy = link.getSilenceMs(address) < clock.getNow() - askedAtMs;
      if (!isBusy) this.recordUnreachable(address);
      return false;
    }
    const source = `peer ${address}`;
    this.state.recordMessage(reply, address);
    this.recordPeerRevisions(reply);
    if (requestedCopies.upstreams && !reply.isDigestOther) {
      this.pendingUpstreams.removeRevision();
    }
    this.scheduleCopyRequest(address);
    if (reply.configurationText !== undefined) {
      this.offerConfiguration(reply.configurationText, source);
    }
    const isCopyApplied =
      reply.upstreams !== undefined &&
      registry.applyCopy(reply.upstreams, source);
    this.state.recordComparison(reply, {
      askedAtMs,
      isCopyApplied,
      source,
    });
    // The digests are equal and exclude missing entries, so the peer lacks these too.
    if (!reply.isProvisional && !reply.isDigestOther) {
      registry.endGraceOfMissing(source);
    }
    for (const member of reply.members ?? []) membership.addPeer(member);
    return true;
  }

  private offerConfiguration(compressed: CompressedText, source: string): void {
    const {routeHolder, logger} = this.parts;
    try {
      routeHolder.offerText(decodeText(compressed), source);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const inForce = routeHolder.getRevision();
      logger.logEvent('routes.unreadable', {source, reason, inForce});
    }
  }

  // If the watch does not bring a peer's newer revision in time, the copy is requested
  // from that peer at once: the next round might choose an unresponsive one.
  private scheduleCopyRequest(address: string): void {
    if (this.copyTimer || !this.hasPendingRevision()) return;
    const {clock} = this.parts;
    this.copyTimer = clock.schedule(this.copyDelayMs, () => {
      this.copyTimer = undefined;
      if (this.hasPendingRevision())
        void this.askPeer(address, this.getDueCopies());
    });
  }

  private hasPendingRevision(): boolean {
    const {routeHolder, registry} = this.parts;
    return (
      this.pendingConfiguration.isNewerThan(routeHolder.getRevision()) ||
      this.pendingUpstreams.isNewerThan(registry.getStoreRevision())
    );
  }

  private recordPeerRevisions(peer: PeerRevisions): void {
    const {routeHolder, registry, clock} = this.parts;
    const nowMs = clock.getNow();
    this.pendingConfiguration.recordRevision(
      peer.configurationRevision,
      routeHolder.getRevision(),
      nowMs,
    );
    // A peer in its grace period sends no copy of its upstreams.
    if (!peer.isDigestOther || peer.isProvisional) return;
    this.pendingUpstreams.recordRevision(
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
