import type {CallerLimits} from '@hollowstack/routes';
import {splitAddress} from '@hollowstack/types';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

/** Answers one exchange. */
export type HttpRequestListener = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => void;

/**
 * Milliseconds between two looks at callers that are slow to send; a sixth
 * of the usual limit.
 */
const CHECK_INTERVAL_MS = 500;
/** A body may take longer than its head. */
const BODY_TIMEOUT_MS = 30_000;

/** The HTTP server of routed requests; its limits follow the configuration. */
export class GatewayServer {
  private readonly server: Server;

  constructor(handle: HttpRequestListener) {
    this.server = createServer(
      {
        noDelay: true,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: BODY_TIMEOUT_MS,
      },
      handle,
    );
    this.server.timeout = 0;
  }

  /** Takes the limits for connections that are opened from now on. */
  setLimits(limits: CallerLimits): void {
    // Node reads these for each new connection.
    Object.assign(this.server, {maxHeaderSize: limits.headerBytes});
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
    this.server.closeIdleConnections();
  }

  /** Stops taking connections, and cuts those that are left. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
