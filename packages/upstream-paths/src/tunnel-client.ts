import {addCloseHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock} from '@hollowstack/clock';
import type {PeerLink, PeerRecord, PeerReply} from '@hollowstack/peers';
import type {Connection, ConnectTarget} from '@hollowstack/transport';
import type {Socket} from 'node:net';
import type {TunnelNetwork} from './tunnel-network.ts';
import type {TunnelPeers} from './tunnel-peers.ts';
import {createTunnelStream} from './tunnel-stream.ts';

/** Dependencies of TunnelClient. */
export interface TunnelClientParts {
  readonly clock: Clock;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  readonly network: TunnelNetwork;
  readonly peers: TunnelPeers;
}

/**
 * Outcome of the search for a tunnel. `refused` and `unanswered` are what a peer that reaches
 * other upstreams saw of this one; `none` says that no peer helped.
 */
export type TunnelOutcome =
  | {readonly type: 'connected'; readonly connection: Connection}
  | {readonly type: 'refused' | 'unanswered' | 'none'};

/** Number of peers that are asked for one connection. */
const MAX_ASKED_PEERS = 4;
/** Milliseconds that a reply may take beyond the time for the connection. */
const REPLY_MARGIN_MS = 100;

/** Opens connections to upstreams through peers. */
export class TunnelClient {
  private readonly parts: TunnelClientParts;

  constructor(parts: TunnelClientParts) {
    this.parts = parts;
  }

  /** Asks one peer after the other; never rejects. */
  async openTunnel(target: ConnectTarget): Promise<TunnelOutcome> {
    const {clock, peers} = this.parts;
    const asked = new Set<string>();
    const endsAtMs = clock.getNow() + target.timeoutMs;
    while (asked.size < MAX_ASKED_PEERS && !target.signal?.aborted) {
      const timeoutMs = endsAtMs - clock.getNow();
      const peer = peers.choosePeer(asked);
      if (!peer || timeoutMs <= 0) break;
      asked.add(peer.id);
      const outcome = await this.askPeer(peer, {...target, timeoutMs});
      if (outcome.type !== 'none') return outcome;
    }
    return {type: 'none'};
  }

  private async askPeer(
    peer: PeerRecord,
    {address, timeoutMs, signal}: ConnectTarget,
  ): Promise<TunnelOutcome> {
    const {link, peers} = this.parts;
    const reply = await link
      .sendRequest(
        peer.address,
        {type: 'open-tunnel', address, timeoutMs},
        timeoutMs + REPLY_MARGIN_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type === 'tunnel') {
      if (signal?.aborted) return {type: 'none'};
      return this.connectTunnel(peer.id, reply, timeoutMs);
    }
    if (reply?.type !== 'tunnel-failed') {
      peers.recordRefusal(peer.id, 'silent');
      return {type: 'none'};
    }
    if (reply.reason === 'refused' || reply.reason === 'unanswered') {
      return {type: reply.reason};
    }
    peers.recordRefusal(peer.id, reply.reason);
    return {type: 'none'};
  }

  private async connectTunnel(
    via: string,
    {address, token}: Extract<PeerReply, {type: 'tunnel'}>,
    timeoutMs: number,
  ): Promise<TunnelOutcome> {
    const {network, peers} = this.parts;
    const socket = network.connect(address);
    socket.write(Buffer.from(token, 'hex'));
    const stream = createTunnelStream(socket);
    if (!(await this.waitForConnection(socket, timeoutMs))) {
      stream.destroy();
      peers.recordRefusal(via, 'silent');
      return {type: 'none'};
    }
    addCloseHandler(stream, peers.recordOpened(via));
    return {type: 'connected', connection: {stream, via}};
  }

  private waitForConnection(
    socket: Socket,
    timeoutMs: number,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const timer = scheduleTimeout(this.parts.clock, timeoutMs, () =>
        resolve(false),
      );
      const settle = (isConnected: boolean) => {
        timer.cancel();
        resolve(isConnected);
      };
      socket.once('connect', () => settle(true));
      socket.once('close', () => settle(false));
    });
  }
}
