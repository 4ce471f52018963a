import type {Clock, Timer} from '@hollowstack/clock';
import type {PeerReply, PeerRequest} from './messages.ts';
import type {Session} from './session.ts';

/** A request that awaits its reply. */
export interface PendingRequest {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
}

/**
 * Milliseconds without a message, while requests time out, after which a stream counts
 * as unresponsive. Longer than a busy process stalls (0.3 s at a start), and short enough
 * that a request on another stream fits within the time in which changes must be in
 * force.
 */
const UNRESPONSIVE_MS = 600;

/**
 * A stream that this instance has opened to a peer, with its pending requests. A
 * connection may stop delivering without a reset; only the time-outs of requests reveal
 * it.
 */
export class PeerStream {
  readonly session: Session;
  private readonly clock: Clock;
  private readonly pending = new Map<number, PendingRequest>();
  /**
   * Since when the peer has sent nothing although it has been asked; undefined if no request has
   * timed out since its last message.
   */
  private unansweredSinceMs: number | undefined;
  private contactAtMs: number;

  constructor(session: Session, clock: Clock) {
    this.session = session;
    this.clock = clock;
    this.contactAtMs = clock.getNow();
  }

  /** Sends a request and keeps it as pending until its reply arrives. */
  sendRequest(id: number, request: PeerRequest, pending: PendingRequest): void {
    this.pending.set(id, pending);
    this.session.sendEnvelope({kind: 'request', id, request});
  }

  /** Resolves the request that a reply answers; ignores it if the request has timed out. */
  handleReply(id: number, reply: PeerReply): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.timer.cancel();
    pending?.resolve(reply);
  }

  /** Returns whether no request is pending. */
  isIdle(): boolean {
    return this.pending.size === 0;
  }

  /** Records that a message from the peer has just arrived. */
  recordContact(): void {
    this.unansweredSinceMs = undefined;
    this.contactAtMs = this.clock.getNow();
  }

  /** Returns the milliseconds since the last message from the peer or, before one, the opening. */
  getSilenceMs(): number {
    return this.clock.getNow() - this.contactAtMs;
  }

  /** Returns the number of requests that await their replies. */
  getPendingCount(): number {
    return this.pending.size;
  }

  /**
   * Records that a request has timed out.
   *
   * @returns Whether the stream counts as unresponsive.
   */
  recordTimeout(id: number, sentAtMs: number): boolean {
    this.pending.delete(id);
    this.unansweredSinceMs ??= Math.max(sentAtMs, this.contactAtMs);
    return this.clock.getNow() - this.unansweredSinceMs >= UNRESPONSIVE_MS;
  }

  /** Rejects all pending requests. */
  failPending(error: Error): void {
    for (const {reject, timer} of this.pending.values()) {
      timer.cancel();
      reject(error);
    }
    this.pending.clear();
  }
}
