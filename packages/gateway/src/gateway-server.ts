import type {EventLogger} from '@hollowstack/logger';
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
/**
 * Size in bytes of the heads that the parser reads at least. The runtime sets its limit when a
 * connection is opened; the limit in force, which may change, is checked for each request.
 */
const MIN_PARSER_HEADER_BYTES = 64 * 1024;
/** HTTP status: the head of the request is too large. */
const HEADER_TOO_LARGE = 431;

/** Dependencies of GatewayServer. */
export interface GatewayServerParts {
  readonly gate: ConnectionGate;
  readonly callerGuard: CallerGuard;
  readonly logger: EventLogger;
  readonly traffic: TrafficCounter;
}

/** The HTTP server for routed requests; its limits follow the configuration. */
export class GatewayServer {
  private readonly server: Server;
  private readonly idleConnections: IdleConnections;
  private readonly callerGuard: CallerGuard;
  private readonly logger: EventLogger;
  private headerBytes = MIN_PARSER_HEADER_BYTES;
  private parserHeaderBytes = MIN_PARSER_HEADER_BYTES;

  constructor(
    handle: HttpRequestListener,
    {gate, callerGuard, logger, traffic}: GatewayServerParts,
  ) {
    this.server = createServer(
      {
        noDelay: true,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        maxHeaderSize: MIN_PARSER_HEADER_BYTES,
      },
      (incoming, outgoing) => {
        if (!callerGuard.recordRequest(incoming, outgoing)) return;
        gate.recordRequest(incoming.socket);
        const headBytes = countHeadBytes(incoming);
        if (headBytes < this.headerBytes) handle(incoming, outgoing);
        else this.rejectHead(outgoing, headBytes);
      },
    );
    this.server.timeout = 0;
    this.callerGuard = callerGuard;
    this.logger = logger;
    callerGuard.addServer(this.server);
    this.idleConnections = new IdleConnections(this.server);
    // Node.js reads this for each new connection: nothing is received before it is resumed.
    Object.assign(this.server, {pauseOnConnect: true});
    this.server.on('connection', socket => {
      // Each pipelined request watches the connection.
      socket.setMaxListeners(0);
      traffic.addSocket(socket);
      gate.addConnection(socket);
    });
  }

  /** Sets the limits of all connections, also of those that are open. */
  setLimits(limits: CallerLimits): void {
    this.headerBytes = limits.headerBytes;
    this.setParserHeaderBytes(
      Math.max(MIN_PARSER_HEADER_BYTES, limits.headerBytes),
    );
    this.callerGuard.setHeaderBytes(limits.headerBytes);
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  // Connections that are idle would reject the next head that exceeds their parser's limit.
  private setParserHeaderBytes(headerBytes: number): void {
    const hasGrown = headerBytes > this.parserHeaderBytes;
    this.parserHeaderBytes = headerBytes;
    Object.assign(this.server, {maxHeaderSize: headerBytes});
    if (hasGrown) this.closeIdleConnections();
  }

  private rejectHead(outgoing: ServerResponse, headBytes: number): void {
    this.logger.logEvent('request.refused', {
      kind: 'header-too-large',
      ran: 'no',
      reason: `the head has ${headBytes} bytes, ${this.headerBytes} are too many`,
    });
    outgoing.writeHead(HEADER_TOO_LARGE, {
      connection: 'close',
      'content-length': 0,
    });
    outgoing.end();
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

// Counts what the runtime's parser counts: the target and the names and values of the headers.
function countHeadBytes({url = '', rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
