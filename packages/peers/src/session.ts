import {
  createHmac,
  createSecretKey,
  randomBytes,
  timingSafeEqual,
  type KeyObject,
} from 'node:crypto';
import {decode, encode} from 'cbor-x';
import {
  FrameDecoder,
  FrameError,
  MAX_FRAME_BYTES,
  encodeFrame,
} from './frames.ts';
import type {KeyRing, PeerKey} from './key-ring.ts';
import {
  envelopeSchema,
  handshakeSchema,
  type Envelope,
  type Handshake,
} from './messages.ts';
import type {PeerSocket} from './peer-network.ts';

/** Largest handshake message in bytes; small, as the peer is not authenticated yet. */
const MAX_HANDSHAKE_BYTES = 1024;
/** Bytes of a frame's authentication tag: half of an HMAC-SHA-256, as HMAC permits. */
const TAG_BYTES = 16;
/** Random bytes from each side, so that no two sessions have the same transcript. */
const NONCE_BYTES = 16;

/** The side of a stream that this instance is on. */
export type SessionRole = 'dialer' | 'acceptor';

/** Callbacks of a session. */
export interface SessionHandlers {
  /** Called once both sides have proved that they hold the key. */
  handleOpen(peer: string): void;
  handleEnvelope(envelope: Envelope): void;
  /** Called when the stream has ended; `refusal` is set if this side refused the peer. */
  handleClose(refusal: string | undefined): void;
}

/**
 * One authenticated stream. Both sides prove over fresh nonces that they hold a common
 * key. After that, each frame carries an authentication tag over its sequence number and
 * content, so that no frame can be forged, replayed or omitted.
 */
export class Session {
  private readonly socket: PeerSocket;
  private readonly role: SessionRole;
  private readonly instance: string;
  private readonly keys: KeyRing;
  private readonly handlers: SessionHandlers;
  private readonly decoder = new FrameDecoder(MAX_HANDSHAKE_BYTES);
  private readonly nonce = randomBytes(NONCE_BYTES).toString('hex');
  private key: PeerKey | undefined;
  private transcript = '';
  private peer = '';
  // A KeyObject, because Node.js prepares a key given as bytes again for each tag, which
  // costs six times as much as the tag itself.
  private sessionKey: KeyObject | undefined;
  private isOpen = false;
  private isClosed = false;
  private sentFrameCount = 0;
  private receivedFrameCount = 0;

  constructor(
    socket: PeerSocket,
    role: SessionRole,
    instance: string,
    keys: KeyRing,
    handlers: SessionHandlers,
  ) {
    this.socket = socket;
    this.role = role;
    this.instance = instance;
    this.keys = keys;
    this.handlers = handlers;
    socket.setDataHandler(bytes => this.handleBytes(bytes));
    socket.setCloseHandler(() => this.finish(undefined));
    if (role === 'dialer') this.sendHello();
  }

  /** Sends an envelope; the session must be open. */
  sendEnvelope(envelope: Envelope): void {
    const payload = encode(envelope);
    const tag = this.computeTag(this.role, this.sentFrameCount++, payload);
    this.socket.send(encodeFrame(Buffer.concat([tag, payload])));
  }

  close(): void {
    this.finish(undefined);
  }

  private handleBytes(bytes: Uint8Array): void {
    if (this.isClosed) return;
    try {
      this.decoder.addBytes(bytes);
      // The limit of the frames rises within one chunk, once the handshake is complete.
      let payload: Buffer | undefined;
      while (!this.isClosed && (payload = this.decoder.takePayload())) {
        if (this.isOpen) this.handleTaggedFrame(payload);
        else this.handleHandshake(handshakeSchema.parse(decode(payload)));
      }
    } catch (error) {
      const reason = error instanceof FrameError ? error.message : 'bad frame';
      this.finish(reason);
    }
  }

  private handleTaggedFrame(frame: Buffer): void {
    if (frame.length < TAG_BYTES) throw new FrameError('frame without a tag');
    const payload = frame.subarray(TAG_BYTES);
    const peerRole = this.role === 'dialer' ? 'acceptor' : 'dialer';
    const expected = this.computeTag(
      peerRole,
      this.receivedFrameCount++,
      payload,
    );
    if (!timingSafeEqual(frame.subarray(0, TAG_BYTES), expected)) {
      throw new FrameError('frame with a wrong tag');
    }
    this.handlers.handleEnvelope(envelopeSchema.parse(decode(payload)));
  }

  private handleHandshake(message: Handshake): void {
    if (message.type === 'hello' && this.role === 'acceptor' && !this.key) {
      this.answerHello(message);
    } else if (message.type === 'welcome' && this.role === 'dialer') {
      this.answerWelcome(message);
    } else if (message.type === 'proof' && this.role === 'acceptor') {
      this.checkProof('dialer', message.proof);
      this.open();
    } else {
      throw new FrameError(`${message.type} was not expected`);
    }
  }

  private sendHello(): void {
    this.key = this.keys.getDialKey();
    this.sendHandshake({
      type: 'hello',
      keyId: this.key.id,
      instance: this.instance,
      nonce: this.nonce,
    });
  }

  private answerHello(hello: Extract<Handshake, {type: 'hello'}>): void {
    this.key = this.keys.findKey(hello.keyId);
    if (!this.key) throw new FrameError(`key ${hello.keyId} is not known`);
    this.peer = hello.instance;
    this.transcript = [
      hello.nonce,
      this.nonce,
      hello.instance,
      this.instance,
    ].join('|');
    this.sendHandshake({
      type: 'welcome',
      instance: this.instance,
      nonce: this.nonce,
      proof: this.computeProof('acceptor'),
    });
  }

  private answerWelcome(welcome: Extract<Handshake, {type: 'welcome'}>): void {
    this.peer = welcome.instance;
    this.transcript = [
      this.nonce,
      welcome.nonce,
      this.instance,
      welcome.instance,
    ].join('|');
    this.checkProof('acceptor', welcome.proof);
    this.sendHandshake({type: 'proof', proof: this.computeProof('dialer')});
    this.open();
  }

  private open(): void {
    this.isOpen = true;
    this.sessionKey = createSecretKey(this.computeHmac('session'));
    this.decoder.setMaxBytes(MAX_FRAME_BYTES);
    this.handlers.handleOpen(this.peer);
  }

  private sendHandshake(message: Handshake): void {
    this.socket.send(encodeFrame(encode(message)));
  }

  private checkProof(role: SessionRole, proof: string): void {
    const expected = Buffer.from(this.computeProof(role), 'hex');
    if (!this.key || !timingSafeEqual(expected, Buffer.from(proof, 'hex'))) {
      throw new FrameError('the peer does not hold the key');
    }
  }

  private computeProof(role: SessionRole): string {
    return this.computeHmac(`proof|${role}`).toString('hex');
  }

  private computeHmac(purpose: string): Buffer {
    return createHmac('sha256', this.key?.secret ?? '')
      .update(`${purpose}|${this.transcript}`)
      .digest();
  }

  private computeTag(
    role: SessionRole,
    frameNumber: number,
    payload: Uint8Array,
  ): Buffer {
    return createHmac('sha256', this.sessionKey!)
      .update(`${role}|${frameNumber}|`)
      .update(payload)
      .digest()
      .subarray(0, TAG_BYTES);
  }

  private finish(refusal: string | undefined): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
    this.handlers.handleClose(refusal);
  }
}
