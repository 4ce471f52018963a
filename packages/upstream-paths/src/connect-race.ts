import {addAbortHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock, type Timer} from '@hollowstack/clock';
import {
  ConnectTimeoutError,
  NoPathError,
  isConnectionRefused,
  type ConnectTarget,
  type Connection,
  type Connector,
} from '@hollowstack/transport';
import type {PathProber} from './path-prober.ts';
import type {PathChoice, PathTable} from './path-table.ts';
import type {TunnelClient, TunnelOutcome} from './tunnel-client.ts';

/** Dependencies of ConnectRace. */
export interface ConnectRaceParts {
  readonly clock: Clock;
  /** Establishes direct connections. */
  readonly direct: Connector;
  readonly table: PathTable;
  readonly prober: PathProber;
  readonly tunnels: TunnelClient;
}

/** Milliseconds for a direct connection before a tunnel is opened beside it. */
const STANDBY_DELAY_MS: Readonly<Record<'direct' | 'retry', number>> = {
  direct: 100,
  retry: 20,
};

/** Milliseconds for the last way that is tried, however little time is left. */
const MIN_CONNECT_MS = 50;

type Side = 'idle' | 'pending' | 'failed';

/**
 * Connects to one upstream over the first of two paths that works, the direct one and a tunnel
 * through a peer, and records what this tells about the direct path.
 */
export class ConnectRace {
  private readonly parts: ConnectRaceParts;
  private readonly target: ConnectTarget;
  private readonly endsAtMs: number;
  private readonly abandoned = new AbortController();
  private direct: Side = 'idle';
  private directError: unknown;
  private tunnel: Side = 'idle';
  private tunnelFailure: Exclude<TunnelOutcome['type'], 'connected'> = 'none';
  private standbyTimer: Timer | undefined;
  private settle!: {
    resolve: (connection: Connection) => void;
    reject: (error: unknown) => void;
  };
  private isSettled = false;

  constructor(parts: ConnectRaceParts, target: ConnectTarget) {
    this.parts = parts;
    this.target = target;
    this.endsAtMs = parts.clock.getNow() + target.timeoutMs;
  }

  /** Connects; called once. Rejects as `Connector.connect` does. */
  run(path: PathChoice): Promise<Connection> {
    const {signal} = this.target;
    const result = new Promise<Connection>((resolve, reject) => {
      this.settle = {resolve, reject};
    });
    const removeAbortHandler = addAbortHandler(signal, reason =>
      this.fail(reason),
    );
    if (!this.isSettled) this.startPath(path);
    return result.finally(() => {
      this.standbyTimer?.cancel();
      removeAbortHandler();
      this.abandoned.abort();
    });
  }

  private startPath(path: PathChoice): void {
    if (path === 'tunnel') void this.openTunnel();
    else this.startDirect(STANDBY_DELAY_MS[path]);
  }

  private startDirect(standbyDelayMs: number): void {
    void this.connectDirect();
    this.standbyTimer = scheduleTimeout(this.parts.clock, standbyDelayMs, () =>
      this.openTunnelOnce(),
    );
  }

  private async connectDirect(): Promise<void> {
    const {direct, table} = this.parts;
    const {address} = this.target;
    this.direct = 'pending';
    try {
      const connection = await direct.connect(this.createTarget());
      table.recordConnected(address);
      this.finish(connection);
    } catch (error) {
      this.direct = 'failed';
      this.directError = error;
      if (this.isSettled) return;
      if (this.tunnel === 'failed') await this.judgeFailure();
      else this.openTunnelOnce();
    }
  }

  private openTunnelOnce(): void {
    if (this.tunnel === 'idle' && !this.isSettled) void this.openTunnel();
  }

  private async openTunnel(): Promise<void> {
    this.tunnel = 'pending';
    const outcome = await this.parts.tunnels.openTunnel(this.createTarget());
    if (outcome.type === 'connected') {
      this.handleTunnel(outcome.connection);
      return;
    }
    this.tunnel = 'failed';
    this.tunnelFailure = outcome.type;
    if (this.isSettled) return;
    // A connection that a peer saw refused will not be accepted here.
    const mayStillConnect =
      this.direct === 'pending' && outcome.type !== 'refused';
    if (!mayStillConnect) await this.judgeFailure();
  }

  private handleTunnel(connection: Connection): void {
    if (!this.isSettled && this.direct !== 'idle') {
      this.parts.table.recordLost(this.target.address);
    }
    this.finish(connection);
  }

  private async judgeFailure(): Promise<void> {
    const {table} = this.parts;
    const {address} = this.target;
    if (this.tunnelFailure !== 'none') {
      table.removeLostPath(address);
      this.fail(this.createUpstreamError());
      return;
    }
    if (table.isIsolated()) {
      this.fail(this.createPathError());
      return;
    }
    if (this.direct === 'idle') {
      // No peer helped, but the path may work again.
      table.removeLostPath(address);
      await this.connectDirect();
      return;
    }
    await this.judgeDirectFailure();
  }

  private async judgeDirectFailure(): Promise<void> {
    const {table, prober} = this.parts;
    const {address} = this.target;
    const hasOtherPath = await prober.hasOtherPath(address);
    if (this.isSettled) return;
    if (hasOtherPath) {
      table.removeLostPath(address);
      this.fail(this.directError);
      return;
    }
    table.recordLost(address);
    this.fail(this.createPathError());
  }

  private createUpstreamError(): unknown {
    if (this.tunnelFailure === 'unanswered') return new ConnectTimeoutError();
    if (isConnectionRefused(this.directError)) return this.directError;
    return Object.assign(
      new Error('the upstream refused a peer’s connection'),
      {
        code: 'ECONNREFUSED',
      },
    );
  }

  private createPathError(): NoPathError {
    return new NoPathError('no path to the upstream', {
      cause: this.directError,
    });
  }

  private finish(connection: Connection): void {
    if (this.isSettled) {
      connection.stream.destroy();
      return;
    }
    this.isSettled = true;
    this.settle.resolve(connection);
  }

  private fail(error: unknown): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.settle.reject(error);
  }

  private createTarget(): ConnectTarget {
    const leftMs = this.endsAtMs - this.parts.clock.getNow();
    return {
      address: this.target.address,
      timeoutMs: Math.max(MIN_CONNECT_MS, leftMs),
      signal: this.abandoned.signal,
    };
  }
}
