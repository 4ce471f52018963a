import {scheduleTimeout, type Clock, type Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {PeerReply} from '@hollowstack/peers';
import {isAcceptingWork, type RegisteredUpstream} from '@hollowstack/routes';
import {isConnectionRefused, type Connector} from '@hollowstack/transport';
import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {joinStreams} from './join-streams.ts';
import type {PathProber} from './path-prober.ts';
import type {PathTable} from './path-table.ts';
import type {TunnelNetwork} from './tunnel-network.ts';

/** A peer's request for a tunnel. */
export interface TunnelRequest {
  /** Address of the upstream. */
  readonly address: string;
  /** Milliseconds within which the upstream must accept the connection. */
  readonly timeoutMs: number;
}

/** Reply to a request for a tunnel. */
export type TunnelReply = Extract<
  PeerReply,
  {type: 'tunnel' | 'tunnel-failed'}
>;

/** Dependencies of TunnelServer. */
export interface TunnelServerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly network: TunnelNetwork;
  readonly direct: Connector;
  readonly table: PathTable;
  readonly prober: PathProber;
}

/** Bytes of the token by which a stream claims its tunnel. */
export const TOKEN_BYTES = 16;
/** Milliseconds for the requester to claim a tunnel. */
const CLAIM_TIMEOUT_MS = 1000;
/** Upper bound of the milliseconds for the connection to the upstream. */
const MAX_CONNECT_MS = 250;
/** Maximum number of tunnels; each of them takes two descriptors. */
const MAX_TUNNELS = 800;
/** Milliseconds without a tunnel after which the next one is logged. */
const QUIET_MS = 5000;

interface UnclaimedTunnel {
  readonly upstream: Duplex;
  readonly timer: Timer;
}

/**
 * Forwards the bytes between peers that cannot reach an upstream and that upstream. A tunnel
 * is requested over the authenticated link, and claimed with a token on a stream of its own,
 * so that a slow reader holds up no other tunnel.
 */
export class TunnelServer {
  private readonly parts: TunnelServerParts;
  private readonly unclaimed = new Map<string, UnclaimedTunnel>();
  private readonly open = new Set<Socket>();
  private acceptingAddresses: ReadonlySet<string> = new Set();
  private connectingCount = 0;
  private address = '';
  private lastTunnelAtMs = -Infinity;

  constructor(parts: TunnelServerParts) {
    this.parts = parts;
    parts.metrics.setGauge('hollowstack_tunnels_open', {}, () =>
      this.countTunnels(),
    );
  }

  /** Starts accepting the streams of tunnels. */
  async listen(address: string): Promise<void> {
    this.address = await this.parts.network.listen(address, socket =>
      this.acceptSocket(socket),
    );
  }

  /** Replaces the registered upstreams; tunnels lead only to those that accept work. */
  setUpstreams(upstreams: readonly RegisteredUpstream[]): void {
    this.acceptingAddresses = new Set(
      upstreams.filter(isAcceptingWork).map(({address}) => address),
    );
  }

  /** Counts the tunnels that are open or being opened. */
  countTunnels(): number {
    return this.open.size + this.unclaimed.size + this.connectingCount;
  }

  /** Connects to an upstream on behalf of a peer; never rejects. */
  async openTunnel(request: TunnelRequest, peer: string): Promise<TunnelReply> {
    const reply = await this.connectUpstream(request);
    const outcome = reply.type === 'tunnel' ? 'opened' : reply.reason;
    this.parts.metrics.addToCounter('hollowstack_tunnel_requests_total', {
      outcome,
    });
    this.logCarrying(peer, request.address, outcome);
    return reply;
  }

  /** Stops accepting tunnels and closes all of them. */
  close(): void {
    this.parts.network.close();
    for (const socket of this.open) socket.destroy();
    for (const {upstream, timer} of this.unclaimed.values()) {
      timer.cancel();
      upstream.destroy();
    }
    this.unclaimed.clear();
  }

  private async connectUpstream(request: TunnelRequest): Promise<TunnelReply> {
    const {direct, table} = this.parts;
    const {address} = request;
    if (!this.acceptingAddresses.has(address)) {
      return createFailure('not-accepting');
    }
    if (this.countTunnels() >= MAX_TUNNELS) return createFailure('busy');
    if (table.isIsolated()) return createFailure('no-path');
    const timeoutMs = Math.min(MAX_CONNECT_MS, request.timeoutMs);
    this.connectingCount += 1;
    try {
      const {stream} = await direct.connect({address, timeoutMs});
      table.recordConnected(address);
      return this.addUnclaimed(stream);
    } catch (error) {
      return await this.judgeFailure(address, error);
    } finally {
      this.connectingCount -= 1;
    }
  }

  // This instance may be isolated as well and not know it yet, in which case its failure to
  // connect says nothing about the upstream.
  private async judgeFailure(
    address: string,
    error: unknown,
  ): Promise<TunnelReply> {
    const {table, prober} = this.parts;
    if (await prober.hasOtherPath(address)) {
      table.removeLostPath(address);
      return createFailure(
        isConnectionRefused(error) ? 'refused' : 'unanswered',
      );
    }
    table.recordLost(address);
    return createFailure('no-path');
  }

  private addUnclaimed(upstream: Duplex): TunnelReply {
    const token = randomBytes(TOKEN_BYTES).toString('hex');
    const timer = scheduleTimeout(this.parts.clock, CLAIM_TIMEOUT_MS, () => {
      this.unclaimed.delete(token);
      upstream.destroy();
    });
    this.unclaimed.set(token, {upstream, timer});
    return {type: 'tunnel', address: this.address, token};
  }

  private acceptSocket(socket: Socket): void {
    let received = Buffer.alloc(0);
    const timer = scheduleTimeout(this.parts.clock, CLAIM_TIMEOUT_MS, () =>
      socket.destroy(),
    );
    socket.on('error', () => {});
    socket.on('close', () => {
      timer.cancel();
      this.open.delete(socket);
    });
    const readToken = (bytes: Buffer) => {
      received = Buffer.concat([received, bytes]);
      if (received.length < TOKEN_BYTES) return;
      timer.cancel();
      socket.off('data', readToken);
      this.acceptTunnel(socket, received);
    };
    socket.on('data', readToken);
  }

  private acceptTunnel(socket: Socket, received: Buffer): void {
    const token = received.toString('hex', 0, TOKEN_BYTES);
    const claimed = this.unclaimed.get(token);
    if (!claimed) {
      socket.destroy();
      return;
    }
    this.unclaimed.delete(token);
    claimed.timer.cancel();
    this.open.add(socket);
    joinStreams(socket, claimed.upstream);
    const rest = received.subarray(TOKEN_BYTES);
    if (rest.length > 0) claimed.upstream.write(rest);
  }

  private logCarrying(peer: string, upstream: string, outcome: string): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.getNow();
    const isFirst = nowMs - this.lastTunnelAtMs >= QUIET_MS;
    this.lastTunnelAtMs = nowMs;
    if (isFirst) {
      logger.logEvent('tunnels.requested', {peer, upstream, outcome});
    }
  }
}

function createFailure(
  reason: Extract<TunnelReply, {type: 'tunnel-failed'}>['reason'],
): TunnelReply {
  return {type: 'tunnel-failed', reason};
}
