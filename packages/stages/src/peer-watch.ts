import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {Membership, PeerLink, PeerRecord} from '@hollowstack/peers';

/** Dependencies of PeerWatch. */
export interface PeerWatchParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest' | 'closePeer'> &
    Partial<Pick<PeerLink, 'getSilenceMs'>>;
  readonly membership: Pick<Membership, 'getLiveCount'>;
}

/** A caller's handle on the watch of a peer. */
export interface PeerWatchHandle {
  /** Resolves once the peer is unresponsive; never settles while it answers. */
  readonly failed: Promise<undefined>;
  /** Stops the watch if no other caller needs it. */
  end(): void;
}

interface WatchedPeer {
  readonly record: PeerRecord;
  readonly waiters: Set<() => void>;
  timer: Timer | undefined;
}

/**
 * Minimum interval between pings; with the ping timeout it adds up to the 0.6 s within which an
 * unresponsive coordinator must be detected.
 */
const MIN_PING_INTERVAL_MS = 150;
/**
 * Interval between pings per live instance, 0.3 s at 200 instances: all instances together
 * send one coordinator at most 670 pings a second, regardless of their number. A longer
 * interval is acceptable since a killed process closes its streams; only a frozen process or
 * a network partition has to be detected by pings.
 */
const PING_INTERVAL_MS_PER_INSTANCE = 1.5;
/**
 * Timeout of a ping; about a hundred round trips, and enough for a busy process to answer.
 */
const PING_TIMEOUT_MS = 450;

/**
 * Detects unresponsive peers by pings. A peer is pinged only while callers wait for its
 * answers and nothing else arrives from it, and all callers share one ping at a time. A peer that
 * answers a ping late but sends other messages is busy, not gone.
 */
export class PeerWatch {
  private readonly parts: PeerWatchParts;
  private readonly watched = new Map<string, WatchedPeer>();

  constructor(parts: PeerWatchParts) {
    this.parts = parts;
  }

  /** Watches a peer until the returned handle is ended. */
  beginWatching(record: PeerRecord): PeerWatchHandle {
    const peer = this.watched.get(record.id) ?? this.addPeer(record);
    let waiter = () => {};
    const failed = new Promise<undefined>(resolve => {
      waiter = () => resolve(undefined);
    });
    peer.waiters.add(waiter);
    return {failed, end: () => this.endWatching(peer, waiter)};
  }

  private addPeer(record: PeerRecord): WatchedPeer {
    const peer: WatchedPeer = {record, waiters: new Set(), timer: undefined};
    this.watched.set(record.id, peer);
    this.schedulePing(peer);
    return peer;
  }

  private endWatching(peer: WatchedPeer, waiter: () => void): void {
    peer.waiters.delete(waiter);
    if (peer.waiters.size === 0) this.removePeer(peer);
  }

  private removePeer(peer: WatchedPeer): void {
    peer.timer?.cancel();
    const {id} = peer.record;
    if (this.watched.get(id) === peer) this.watched.delete(id);
  }

  private schedulePing(peer: WatchedPeer): void {
    const {clock, membership} = this.parts;
    const intervalMs = Math.max(
      MIN_PING_INTERVAL_MS,
      membership.getLiveCount() * PING_INTERVAL_MS_PER_INSTANCE,
    );
    peer.timer = clock.schedule(intervalMs, () =>
      this.checkPeer(peer, intervalMs),
    );
  }

  private checkPeer(peer: WatchedPeer, intervalMs: number): void {
    const leftMs = intervalMs - this.getSilenceMs(peer);
    if (leftMs <= 0) {
      void this.sendPing(peer);
      return;
    }
    peer.timer = this.parts.clock.schedule(leftMs, () =>
      this.checkPeer(peer, intervalMs),
    );
  }

  private getSilenceMs({record}: WatchedPeer): number {
    return this.parts.link.getSilenceMs?.(record.address) ?? Infinity;
  }

  private async sendPing(peer: WatchedPeer): Promise<void> {
    const {clock, link, logger} = this.parts;
    const {address, id} = peer.record;
    const sentAtMs = clock.getNow();
    const isAnswered = await link
      .sendRequest(address, {type: 'ping'}, PING_TIMEOUT_MS)
      .then(
        () => true,
        () => false,
      );
    if (this.watched.get(id) !== peer) return;
    const silentMs = this.getSilenceMs(peer);
    if (isAnswered || silentMs < clock.getNow() - sentAtMs) {
      this.schedulePing(peer);
      return;
    }
    logger.logEvent('peer.silent', {
      peer: id,
      address,
      silentMs: Math.round(silentMs),
    });
    link.closePeer(address);
    this.removePeer(peer);
    for (const waiter of peer.waiters) waiter();
  }
}
