import type {Clock, Timer} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {KeyRing} from './key-ring.ts';
import type {Envelope, PeerReply, PeerRequest} from './messages.ts';
import type {PeerNetwork, PeerSocket} from './peer-network.ts';
import {Session} from './session.ts';

/** Who this instance is to its peers. */
export interface PeerIdentity {
  readonly id: string;
  /** Failure domain. */
  readonly failureDomain: string;
}

/** What the link works with. */
export interface PeerLinkParts {
  readonly identity: PeerIdentity;
  readonly network: PeerNetwork;
  readonly keys: KeyRing;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
}

interface PendingRequest {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
}

interface OpenPeer {
  readonly session: Session;
  readonly pending: Map<number, PendingRequest>;
}

// Streams that were opened to ask a rare question are closed again, so that a
// large fleet does not end as a full mesh.
const MAX_OPEN_PEERS = 32;
const HANDSHAKE_TIMEOUT_MS = 2000;

/** Answers a peer's request. */
export type PeerRequestHandler = (
  request: PeerRequest,
  peer: string,
) => Promise<PeerReply>;

/** Asks peers and answers them over authenticated streams. */
export class PeerLink {
  private readonly parts: PeerLinkParts;
  private readonly opened = new Map<string, Promise<OpenPeer>>();
  private readonly sessions = new Set<Session>();
  private handleRequest: PeerRequestHandler;
  private nextRequestId = 1;

  constructor(parts: PeerLinkParts) {
    this.parts = parts;
    this.handleRequest = async () => ({
      type: 'failed',
      message: 'not ready for requests',
    });
  }

  /** Sets what answers peers' requests. */
  setRequestHandler(handleRequest: PeerRequestHandler): void {
    this.handleRequest = handleRequest;
  }

  /** Starts taking peers; resolves to the address in use. */
  listen(address: string): Promise<string> {
    return this.parts.network.listen(address, socket =>
      this.acceptPeer(socket),
    );
  }

  /**
   * Asks a peer.
   *
   * @param timeoutMs Milliseconds to wait for its answer, the connection included.
   * @throws HollowstackError `peer-refused` where it cannot be asked or does not answer.
   */
  sendRequest(
    address: string,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply> {
    const id = this.nextRequestId++;
    return new Promise((resolve, reject) => {
      let isOver = false;
      let peer: OpenPeer | undefined;
      const timer = this.parts.clock.schedule(timeoutMs, () => {
        isOver = true;
        peer?.pending.delete(id);
        reject(createLinkError(`no answer from ${address}`));
      });
      this.openPeer(address).then(
        opened => {
          if (isOver) return;
          peer = opened;
          peer.pending.set(id, {resolve, reject, timer});
          this.parts.metrics.addToCounter('hollowstack_peer_requests_total', {
            type: request.type,
          });
          peer.session.sendEnvelope({kind: 'request', id, request});
        },
        error => {
          timer.cancel();
          reject(error);
        },
      );
    });
  }

  /** Closes the stream to a peer that does not answer; what waits there fails. */
  closePeer(address: string): void {
    const opening = this.opened.get(address);
    this.opened.delete(address);
    opening?.then(
      ({session}) => session.close(),
      () => {},
    );
  }

  /** Closes every stream and takes no more. */
  close(): void {
    this.parts.network.close();
    for (const session of this.sessions) session.close();
  }

  private openPeer(address: string): Promise<OpenPeer> {
    const known = this.opened.get(address);
    if (known) {
      // Taken out and put in again, so that the one unused longest comes first.
      this.opened.delete(address);
      this.opened.set(address, known);
      return known;
    }
    const opening: Promise<OpenPeer> = this.connectPeer(address, () =>
      this.removePeer(address, opening),
    );
    this.opened.set(address, opening);
    opening.catch(() => this.removePeer(address, opening));
    this.closeOldest();
    return opening;
  }

  private async connectPeer(
    address: string,
    handleClosed: () => void,
  ): Promise<OpenPeer> {
    const socket = await this.parts.network.connect(address).catch(error => {
      throw createLinkError(`cannot reach ${address}`, error);
    });
    return new Promise((resolve, reject) => {
      const pending = new Map<number, PendingRequest>();
      const timer = this.parts.clock.schedule(HANDSHAKE_TIMEOUT_MS, () =>
        socket.close(),
      );
      const session = this.createSession(socket, 'dialer', {
        handleOpen: () => {
          timer.cancel();
          resolve({session, pending});
        },
        handleEnvelope: envelope =>
          this.handleEnvelope(envelope, session, pending, address),
        handleClose: refusal => {
          timer.cancel();
          const error = createLinkError(refusal ?? `${address} has closed`);
          reject(error);
          this.failPending(pending, error);
          handleClosed();
        },
      });
    });
  }

  private acceptPeer(socket: PeerSocket): void {
    const pending = new Map<number, PendingRequest>();
    const timer = this.parts.clock.schedule(HANDSHAKE_TIMEOUT_MS, () =>
      socket.close(),
    );
    let peerId = '';
    const session = this.createSession(socket, 'acceptor', {
      handleOpen: peer => {
        timer.cancel();
        peerId = peer;
      },
      handleEnvelope: envelope =>
        this.handleEnvelope(envelope, session, pending, peerId),
      handleClose: () => timer.cancel(),
    });
  }

  private createSession(
    socket: PeerSocket,
    role: 'dialer' | 'acceptor',
    handlers: ConstructorParameters<typeof Session>[4],
  ): Session {
    const {identity, keys} = this.parts;
    const session: Session = new Session(socket, role, identity.id, keys, {
      ...handlers,
      handleClose: refusal => {
        this.sessions.delete(session);
        if (refusal !== undefined) this.recordRefusal(refusal);
        handlers.handleClose(refusal);
      },
    });
    this.sessions.add(session);
    return session;
  }

  private handleEnvelope(
    envelope: Envelope,
    session: Session,
    pending: Map<number, PendingRequest>,
    peer: string,
  ): void {
    if (envelope.kind === 'request') {
      void this.answerRequest(envelope.id, envelope.request, session, peer);
      return;
    }
    const waiting = pending.get(envelope.id);
    pending.delete(envelope.id);
    waiting?.timer.cancel();
    waiting?.resolve(envelope.reply);
  }

  private async answerRequest(
    id: number,
    request: PeerRequest,
    session: Session,
    peer: string,
  ): Promise<void> {
    const reply = await this.handleRequest(request, peer).catch(
      (error: unknown): PeerReply => ({
        type: 'failed',
        message: error instanceof Error ? error.message : String(error),
      }),
    );
    session.sendEnvelope({kind: 'reply', id, reply});
  }

  private failPending(
    pending: Map<number, PendingRequest>,
    error: Error,
  ): void {
    for (const {reject, timer} of pending.values()) {
      timer.cancel();
      reject(error);
    }
    pending.clear();
  }

  private recordRefusal(reason: string): void {
    this.parts.metrics.addToCounter('hollowstack_peer_refusals_total');
    this.parts.logger.logEvent('peer.refused', {reason});
  }

  private removePeer(address: string, opening: Promise<OpenPeer>): void {
    if (this.opened.get(address) === opening) this.opened.delete(address);
  }

  private closeOldest(): void {
    if (this.opened.size <= MAX_OPEN_PEERS) return;
    const [address, opening] = this.opened.entries().next().value!;
    this.opened.delete(address);
    opening.then(
      ({session}) => session.close(),
      () => {},
    );
  }
}

function createLinkError(message: string, cause?: unknown): HollowstackError {
  return new HollowstackError('peer-refused', message, {cause});
}
