import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type AddressInfo} from 'node:net';
import {addCloseHandler, waitForDrain} from '@hollowstack/cancellation';
import {HollowstackError} from '@hollowstack/errors';
import {
  readBody,
  type HttpHandler,
  type HttpRequest,
  type HttpResponse,
} from './http-exchange.ts';
import {CALLER_CHECK_INTERVAL_MS, CallerGuard} from './caller-guard.ts';
import {IdleConnections} from './idle-connections.ts';
import {joinHeaders} from './node-http-client.ts';

/** Limits on the requests of callers. */
export interface HttpServerLimits {
  /** Maximum size of a request body. */
  readonly bodyBytes: number;
  /** Maximum size of a request head. */
  readonly headerBytes: number;
  /** Milliseconds within which a request must have arrived completely. */
  readonly receiveMs: number;
}

/** Limits for known and trusted callers, such as the clients of stand-ins. */
export const DEFAULT_SERVER_LIMITS: HttpServerLimits = {
  bodyBytes: 16 * 1024 * 1024,
  headerBytes: 16 * 1024,
  receiveMs: 30_000,
};

/** Milliseconds for which an idle connection of a caller is kept open. */
const KEEP_ALIVE_MS = 60_000;

/** HTTP server over Node's http that passes requests to a handler. */
export class NodeHttpServer {
  private readonly server: Server;
  private readonly handler: HttpHandler;
  private readonly limits: HttpServerLimits;
  private readonly idleConnections: IdleConnections;
  private readonly guard = new CallerGuard();
  private checkTimer: NodeJS.Timeout | undefined;

  constructor(
    handler: HttpHandler,
    limits: HttpServerLimits = DEFAULT_SERVER_LIMITS,
  ) {
    this.handler = handler;
    this.limits = limits;
    this.server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        requestTimeout: limits.receiveMs,
        headersTimeout: limits.receiveMs,
        connectionsCheckingInterval: Math.min(1000, limits.receiveMs),
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
      },
      (incoming, outgoing) => {
        if (!this.guard.recordRequest(incoming, outgoing)) return;
        this.handleExchange(incoming, outgoing).catch(() => outgoing.destroy());
      },
    );
    this.idleConnections = new IdleConnections(this.server);
    this.guard.setHeaderBytes(limits.headerBytes);
    this.guard.addServer(this.server);
    this.server.once('listening', () => {
      this.checkTimer = setInterval(
        () => this.guard.checkConnections(),
        CALLER_CHECK_INTERVAL_MS,
      );
      this.checkTimer.unref();
    });
    this.server.once('close', () => clearInterval(this.checkTimer));
  }

  /** Starts listening; resolves to the address with the actual port. */
  listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        const address = this.server.address() as AddressInfo;
        const shownHost =
          address.family === 'IPv6' ? `[${address.address}]` : address.address;
        resolve(`${shownHost}:${address.port}`);
      });
    });
  }

  /** Closes connections without a request; the others stay open for their answer. */
  closeIdleConnections(): void {
    this.idleConnections.close();
  }

  /** Stops listening and resolves once every connection is closed. */
  close(): Promise<void> {
    return new Promise(resolve => {
      // The close method of an HTTP server cuts answers that are ended but not yet sent.
      NetServer.prototype.close.call(this.server, () => resolve());
      this.idleConnections.closeFromNowOn();
    });
  }

  /** Stops listening and closes all connections immediately, even during a request. */
  closeAllConnections(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const controller = new AbortController();
    addCloseHandler(outgoing, () => {
      if (!outgoing.writableFinished) {
        controller.abort(new HollowstackError('caller-gone', 'caller is gone'));
      }
    });
    const body = await this.readRequestBody(incoming, outgoing);
    if (body === undefined) return;
    const request: HttpRequest = {
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: joinHeaders(incoming.headers),
      body,
      signal: controller.signal,
    };
    const response = await this.handler(request);
    await writeResponse(outgoing, response, controller.signal);
  }

  private async readRequestBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Uint8Array | undefined> {
    try {
      return await readBody(incoming, this.limits.bodyBytes);
    } catch (error) {
      if (!(error instanceof HollowstackError)) throw error;
      outgoing.writeHead(413, {
        'content-type': 'application/problem+json',
        connection: 'close',
      });
      outgoing.end(
        JSON.stringify({
          kind: error.kind,
          status: 413,
          detail: error.message,
          ran: 'no',
          action: error.getAnswer().action,
        }),
      );
      return undefined;
    }
  }
}

async function writeResponse(
  outgoing: ServerResponse,
  response: HttpResponse,
  signal: AbortSignal,
): Promise<void> {
  outgoing.writeHead(response.status, response.headers);
  outgoing.flushHeaders();
  for await (const chunk of response.body) {
    if (signal.aborted) return;
    if (!outgoing.write(chunk)) await waitForDrain(outgoing);
  }
  outgoing.end();
}
