import {waitFor, type Clock, type Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {Membership, PeerLink, PeerRecord} from '@hollowstack/peers';

/** What a watch works with. */
export interface PeerWatchParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest' | 'closePeer'>;
  readonly membership: Pick<Membership, 'getLiveCount'>;
}

/** One caller's part in the watch of a peer. */
export interface PeerWatchHandle {
  /** Resolves once the peer is silent; never, where it answers. */
  readonly failed: Promise<undefined>;
  end(): void;
}

interface WatchedPeer {
  readonly record: PeerRecord;
  readonly waiters: Set<() => void>;
  timer: Timer | undefined;
}

/**
 * Milliseconds between pings of a coordinator that owes an answer, at least; two
 * fit in the 0.6 s in which its silence must be noticed.
 */
const MIN_PING_EVERY_MS = 150;
/**
 * Milliseconds between pings for each live instance: all of them together ask
 * one coordinator at most 670 times a second, however many they are. The figure
 * is a guess: 0.3 s at 200 instances. A process that is killed closes its
 * streams; only freezes and cuts are noticed by pings.
 */
const PING_EVERY_MS_PER_INSTANCE = 1.5;
/**
 * Milliseconds for the answer to a ping; some hundred round trips, and room
 * for a busy process.
 */
const PING_TIMEOUT_MS = 450;

/**
 * Notices silent peers by pings, sent only while somebody waits for an answer
 * of theirs, and one at a time however many wait.
 */
export class PeerWatch {
  private readonly parts: PeerWatchParts;
  private readonly watched = new Map<string, WatchedPeer>();

  constructor(parts: PeerWatchParts) {
    this.parts = parts;
  }

  /** Watches a peer until the returned part is ended. */
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
    const everyMs = Math.max(
      MIN_PING_EVERY_MS,
      membership.getLiveCount() * PING_EVERY_MS_PER_INSTANCE,
    );
    peer.timer = clock.schedule(everyMs, () => void this.askPeer(peer));
  }

  private async askPeer(peer: WatchedPeer): Promise<void> {
    const {clock, link, logger} = this.parts;
    const {address, id} = peer.record;
    const isAnswered = await Promise.race([
      link.sendRequest(address, {type: 'ping'}, PING_TIMEOUT_MS).then(
        () => true,
        () => false,
      ),
      waitFor(clock, PING_TIMEOUT_MS).then(() => false),
    ]);
    if (this.watched.get(id) !== peer) return;
    if (isAnswered) {
      this.schedulePing(peer);
      return;
    }
    logger.logEvent('peer.silent', {peer: id, address});
    link.closePeer(address);
    this.removePeer(peer);
    for (const waiter of peer.waiters) waiter();
  }
}
