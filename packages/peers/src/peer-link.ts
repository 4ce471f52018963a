import {scheduleTimeout, type Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {KeyRing} from './key-ring.ts';
import type {Envelope, PeerReply, PeerRequest} from './messages.ts';
import type {PeerNetwork, PeerSocket} from './peer-network.ts';
import type {PeerIdentity} from './peer-identity.ts';
import {PeerStream} from './peer-stream.ts';
import {Session} from './session.ts';

/** Dependencies of PeerLink. */
export interface PeerLinkParts {
  readonly identity: PeerIdentity;
  readonly network: PeerNetwork;
  readonly keys: KeyRing;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
}

// The least recently used streams beyond this number are closed, so that rare requests
// do not turn a large fleet into a full mesh.
const MAX_OPEN_STREAMS = 32;
/** Milliseconds for the two sides of a stream to authenticate each other. */
const HANDSHAKE_TIMEOUT_MS = 2000;

/**
 * Milliseconds within which the streams to two peers must become unresponsive for a
 * fault of the network, and not of a peer, to be suspected.
 */
const NETWORK_FAULT_WINDOW_MS = 2000;

/**
 * Answers a peer's request. `peer` is the peer's id, or its address on a stream that this
 * instance opened.
 */
export type PeerRequestHandler = (
  request: PeerRequest,
  peer: string,
) => Promise<PeerReply>;

/** Sends requests to peers and answers theirs over authenticated streams. */
export class PeerLink {
  private readonly parts: PeerLinkParts;
  private readonly streams = new Map<string, Promise<PeerStream>>();
  private readonly openStreams = new Map<string, PeerStream>();
  private readonly sessions = new Set<Session>();
  private handleRequest: PeerRequestHandler;
  private nextRequestId = 1;
  private contactAtMs: number;
  /** The peer whose stream was the last to become unresponsive, and when. */
  private lastUnresponsive = {address: '', atMs: -Infinity};

  constructor(parts: PeerLinkParts) {
    this.parts = parts;
    this.contactAtMs = parts.clock.getNow();
    this.handleRequest = async () => ({
      type: 'failed',
      message: 'not ready for requests',
    });
  }

  /** Sets the handler of peers' requests; before that, each is answered as failed. */
  setRequestHandler(handleRequest: PeerRequestHandler): void {
    this.handleRequest = handleRequest;
  }

  /** Starts accepting streams; resolves to the bound address. */
  listen(address: string): Promise<string> {
    return this.parts.network.listen(address, socket =>
      this.acceptPeer(socket),
    );
  }

  /**
   * Sends a request to a peer and resolves to its reply.
   *
   * @param timeoutMs Milliseconds to wait for the reply, including the connection.
   * @throws HollowstackError `peer-refused` if the peer cannot be reached or does not
   *   reply in time.
   */
  sendRequest(
    address: string,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply> {
    const {clock, metrics} = this.parts;
    const id = this.nextRequestId++;
    return new Promise((resolve, reject) => {
      let hasTimedOut = false;
      let stream: PeerStream | undefined;
      const sentAtMs = clock.getNow();
      // Many callers continue without a reply, so only the counter shows the failure.
      const fail = (error: Error) => {
        metrics.addToCounter('hollowstack_peer_failures_total', {
          type: request.type,
        });
        reject(error);
      };
      const timer = scheduleTimeout(clock, timeoutMs, () => {
        hasTimedOut = true;
        if (stream?.recordTimeout(id, sentAtMs)) {
          this.closeUnresponsive(address, stream);
        }
        fail(createLinkError(`no answer from ${address}`));
      });
      this.openPeer(address).then(
        opened => {
          if (hasTimedOut) return;
          stream = opened;
          metrics.addToCounter('hollowstack_peer_requests_total', {
            type: request.type,
          });
          stream.sendRequest(id, request, {
            resolve,
            reject: fail,
            timer,
          });
        },
        error => {
          timer.cancel();
          if (!hasTimedOut) fail(error);
        },
      );
    });
  }

  /**
   * Returns the milliseconds since the last message from a peer on the stream that this instance
   * has opened to it; Infinity without one.
   */
  getSilenceMs(address: string): number {
    return this.openStreams.get(address)?.getSilenceMs() ?? Infinity;
  }

  /** Returns the milliseconds since the last message from any peer or, before one, the start. */
  getCommonSilenceMs(): number {
    return this.parts.clock.getNow() - this.contactAtMs;
  }

  /** Closes the stream to a peer that does not answer; its pending requests fail. */
  closePeer(address: string): void {
    const opening = this.streams.get(address);
    this.streams.delete(address);
    if (opening) closeOnceOpen(opening);
  }

  /** Closes all streams and stops accepting new ones. */
  close(): void {
    this.parts.network.close();
    for (const session of this.sessions) session.close();
  }

  // On an unresponsive stream, each further request would use up its whole time-out. If a
  // second stream becomes unresponsive, the same fault has most likely hit the idle ones.
  private closeUnresponsive(address: string, stream: PeerStream): void {
    const {clock, logger} = this.parts;
    logger.logEvent('peer.stream-silent', {
      address,
      silentMs: Math.round(stream.getSilenceMs()),
      pending: stream.getPendingCount(),
    });
    stream.session.close();
    const nowMs = clock.getNow();
    const {lastUnresponsive} = this;
    this.lastUnresponsive = {address, atMs: nowMs};
    const isSecond =
      lastUnresponsive.address !== address &&
      nowMs - lastUnresponsive.atMs < NETWORK_FAULT_WINDOW_MS;
    if (isSecond) this.closeIdle();
  }

  private closeIdle(): void {
    for (const opening of this.streams.values()) {
      closeOnceOpen(opening, stream => stream.isIdle());
    }
  }

  private openPeer(address: string): Promise<PeerStream> {
    const existing = this.streams.get(address);
    if (existing) {
      // Inserted again, so that the least recently used stream comes first.
      this.streams.delete(address);
      this.streams.set(address, existing);
      return existing;
    }
    const opening: Promise<PeerStream> = this.connectPeer(address, () =>
      this.removePeer(address, opening),
    );
    this.streams.set(address, opening);
    opening.catch(() => this.removePeer(address, opening));
    this.closeLeastRecentlyUsed();
    return opening;
  }

  private async connectPeer(
    address: string,
    handleClosed: () => void,
  ): Promise<PeerStream> {
    const {clock} = this.parts;
    const socket = await this.parts.network.connect(address).catch(error => {
      throw createLinkError(`cannot reach ${address}`, error);
    });
    return new Promise((resolve, reject) => {
      const timer = scheduleTimeout(clock, HANDSHAKE_TIMEOUT_MS, () =>
        socket.close(),
      );
      const session = this.createSession(socket, 'dialer', {
        handleOpen: () => {
          timer.cancel();
          this.openStreams.set(address, stream);
          resolve(stream);
        },
        handleEnvelope: envelope => {
          stream.recordContact();
          this.handleEnvelope(envelope, session, address, stream);
        },
        handleClose: refusal => {
          timer.cancel();
          const error = createLinkError(refusal ?? `${address} has closed`);
          reject(error);
          stream.failPending(error);
          if (this.openStreams.get(address) === stream) {
            this.openStreams.delete(address);
          }
          handleClosed();
        },
      });
      const stream = new PeerStream(session, clock);
    });
  }

  private acceptPeer(socket: PeerSocket): void {
    const {clock} = this.parts;
    const timer = scheduleTimeout(clock, HANDSHAKE_TIMEOUT_MS, () =>
      socket.close(),
    );
    let peerId = '';
    const session = this.createSession(socket, 'acceptor', {
      handleOpen: peer => {
        timer.cancel();
        peerId = peer;
      },
      handleEnvelope: envelope =>
        this.handleEnvelope(envelope, session, peerId),
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
    peer: string,
    stream?: PeerStream,
  ): void {
    this.contactAtMs = this.parts.clock.getNow();
    if (envelope.kind === 'request') {
      void this.answerRequest(envelope.id, envelope.request, session, peer);
      return;
    }
    stream?.handleReply(envelope.id, envelope.reply);
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

  private recordRefusal(reason: string): void {
    this.parts.metrics.addToCounter('hollowstack_peer_refusals_total');
    this.parts.logger.logEvent('peer.refused', {reason});
  }

  private removePeer(address: string, opening: Promise<PeerStream>): void {
    if (this.streams.get(address) === opening) this.streams.delete(address);
  }

  private closeLeastRecentlyUsed(): void {
    if (this.streams.size <= MAX_OPEN_STREAMS) return;
    const [address, opening] = this.streams.entries().next().value!;
    this.streams.delete(address);
    closeOnceOpen(opening);
  }
}

function closeOnceOpen(
  opening: Promise<PeerStream>,
  mayClose: (stream: PeerStream) => boolean = () => true,
): void {
  opening.then(
    stream => {
      if (mayClose(stream)) stream.session.close();
    },
    // A stream that failed to open needs no closing and is removed by openPeer.
    () => {},
  );
}

function createLinkError(message: string, cause?: unknown): HollowstackError {
  return new HollowstackError('peer-refused', message, {cause});
}
