import type {Clock, Timer} from '@hollowstack/clock';
import type {PeerReply, PeerRequest} from './messages.ts';
import type {Session} from './session.ts';

/** A request that waits for its reply. */
export interface PendingRequest {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
}

/**
 * Milliseconds without a word, while requests run out of their time, after which
 * a stream counts as silent. Longer than a busy process stands still (0.3 s at a
 * start), and short enough that a question on another stream fits in the time
 * in which changes must be in force.
 */
const UNRESPONSIVE_MS = 600;

/**
 * A stream that this instance has opened to a peer, with the requests that wait
 * on it. A connection may fall silent without a reset; the time-outs of requests
 * are what shows it.
 */
export class PeerStream {
  readonly session: Session;
  private readonly clock: Clock;
  private readonly pending = new Map<number, PendingRequest>();
  /**
   * When the oldest of the requests was sent that ran out of time since the
   * peer was last heard.
   */
  private unansweredSinceMs: number | undefined;

  constructor(session: Session, clock: Clock) {
    this.session = session;
    this.clock = clock;
  }

  /** Sends a request and keeps it until its reply is there. */
  sendRequest(id: number, request: PeerRequest, pending: PendingRequest): void {
    this.pending.set(id, pending);
    this.session.sendEnvelope({kind: 'request', id, request});
  }

  /** Passes a reply on to whoever waits for it. */
  handleReply(id: number, reply: PeerReply): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.timer.cancel();
    pending?.resolve(reply);
  }

  /** Returns whether nothing waits on it. */
  isIdle(): boolean {
    return this.pending.size === 0;
  }

  /** Notes that the peer was heard just now. */
  recordContact(): void {
    this.unansweredSinceMs = undefined;
  }

  /**
   * Notes that a request has run out of its time.
   *
   * @returns Whether the stream counts as silent.
   */
  recordTimeout(id: number, sentAtMs: number): boolean {
    this.pending.delete(id);
    this.unansweredSinceMs ??= sentAtMs;
    return this.clock.getNow() - this.unansweredSinceMs >= UNRESPONSIVE_MS;
  }

  /** Fails every request that waits. */
  failPending(error: Error): void {
    for (const {reject, timer} of this.pending.values()) {
      timer.cancel();
      reject(error);
    }
    this.pending.clear();
  }
}
