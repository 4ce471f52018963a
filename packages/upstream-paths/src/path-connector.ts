import {
  Connector,
  isPathError,
  type ConnectTarget,
  type Connection,
} from '@hollowstack/transport';
import {ConnectRace, type ConnectRaceParts} from './connect-race.ts';
import type {TunnelPeers} from './tunnel-peers.ts';

/** Dependencies of PathConnector. */
export interface PathConnectorParts extends ConnectRaceParts {
  readonly peers: Pick<TunnelPeers, 'isExhausted'>;
}

/** Why nothing can be sent to any upstream now. */
export interface PathOutage {
  readonly reason: string;
  /** Milliseconds after which a path may be there again. */
  readonly retryAfterMs: number;
}

/** Retry advice while this instance has no path to any upstream, in milliseconds. */
const OUTAGE_RETRY_AFTER_MS = 1000;
/** Milliseconds to find out whether a path or an upstream has failed. */
const CONFIRMATION_TIMEOUT_MS = 300;

/** Connects to upstreams directly, or through a peer where the direct path fails. */
export class PathConnector extends Connector {
  private readonly parts: PathConnectorParts;

  constructor(parts: PathConnectorParts) {
    super();
    this.parts = parts;
  }

  connect(target: ConnectTarget): Promise<Connection> {
    const path = this.parts.table.choosePath(target.address);
    return new ConnectRace(this.parts, target).run(path);
  }

  isPathLost(address: string): boolean {
    return this.parts.table.isLost(address);
  }

  hasOutage(): boolean {
    return this.findOutage() !== undefined;
  }

  /** Returns why no upstream can be reached, directly or through a peer; undefined if one may be. */
  findOutage(): PathOutage | undefined {
    const {table, peers} = this.parts;
    if (!table.isIsolated() || !peers.isExhausted()) return undefined;
    return {
      reason: 'this instance has no path to any upstream',
      retryAfterMs: OUTAGE_RETRY_AFTER_MS,
    };
  }

  /**
   * Returns whether the path, and not the upstream, is the likely reason why a connection was
   * lost: the upstream accepts another one, but not directly.
   */
  async isPathAtFault(address: string): Promise<boolean> {
    try {
      const {stream, via} = await this.connect({
        address,
        timeoutMs: CONFIRMATION_TIMEOUT_MS,
      });
      stream.destroy();
      return via !== undefined;
    } catch (error) {
      return isPathError(error);
    }
  }
}
