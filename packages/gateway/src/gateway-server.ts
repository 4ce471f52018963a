import type {TrafficCounter} from '@hollowstack/overload';
import type {CallerLimits} from '@hollowstack/routes';
import {IdleConnections, type CallerGuard} from '@hollowstack/transport';
import {splitAddress} from '@hollowstack/types';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {ConnectionGate} from './connection-gate.ts';

/** Handles one HTTP request; sends the answer to `outgoing`. */
export type HttpRequestListener = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => void;

/** Milliseconds between two checks for callers that send slowly; a sixth of the usual limit. */
const CHECK_INTERVAL_MS = 500;
/** Milliseconds for a complete request; a body may take longer than the headers. */
const BODY_TIMEOUT_MS = 30_000;

/** Dependencies of GatewayServer. */
export interface GatewayServerParts {
  readonly gate: ConnectionGate;
  readonly callerGuard: CallerGuard;
  readonly traffic: TrafficCounter;
}

/** The HTTP server for routed requests; its limits follow the configuration. */
export class GatewayServer {
  private readonly server: Server;
  private readonly idleConnections: IdleConnections;
  private readonly callerGuard: CallerGuard;

  constructor(
    handle: HttpRequestListener,
    {gate, callerGuard, traffic}: GatewayServerParts,
  ) {
    this.server = createServer(
      {
        noDelay: true,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: BODY_TIMEOUT_MS,
      },
      (incoming, outgoing) => {
        if (!callerGuard.recordRequest(incoming, outgoing)) return;
        gate.recordRequest(incoming.socket);
        handle(incoming, outgoing);
      },
    );
    this.server.timeout = 0;
    this.callerGuard = callerGuard;
    callerGuard.addServer(this.server);
    this.idleConnections = new IdleConnections(this.server);
    // Node.js reads this for each new connection: nothing is received before it is resumed.
    Object.assign(this.server, {pauseOnConnect: true});
    this.server.on('connection', socket => {
      traffic.addSocket(socket);
      gate.addConnection(socket);
    });
  }

  /** Sets the limits of connections that are opened from now on. */
  setLimits(limits: CallerLimits): void {
    // Node.js reads these for each new connection.
    Object.assign(this.server, {maxHeaderSize: limits.headerBytes});
    this.callerGuard.setHeaderBytes(limits.headerBytes);
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Closes connections that carry no request. */
  closeIdleConnections(): void {
    this.idleConnections.close();
  }

  /** Stops accepting connections and closes all open ones. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
