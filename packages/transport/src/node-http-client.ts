import {addAbortHandler} from '@hollowstack/cancellation';
import {splitAddress} from '@hollowstack/types';
import {Agent, request as startRequest, type IncomingMessage} from 'node:http';
import {AnswerGuard} from './answer-guard.ts';
import {
  HttpClient,
  TransportError,
  type HttpHeaders,
  type HttpRequest,
  type HttpResponse,
  type SendProgress,
} from './http-exchange.ts';

/** HTTP client over Node's http that keeps connections alive for later requests. */
export class NodeHttpClient extends HttpClient {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: Infinity,
    maxFreeSockets: 64,
    timeout: 0,
    scheduling: 'lifo',
  });

  send(address: string, request: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      if (request.signal.aborted) {
        reject(new TransportError('given up before sending', 'none'));
        return;
      }
      const {host, port} = splitAddress(address);
      let progress: SendProgress = 'none';
      const outgoing = startRequest({
        host,
        port,
        method: request.method,
        path: request.path,
        headers: {...request.headers, 'content-length': request.body.length},
        agent: this.agent,
      });
      const stopListening = addAbortHandler(request.signal, () =>
        outgoing.destroy(new Error('given up')),
      );
      const guard = new AnswerGuard(error => outgoing.destroy(error));
      outgoing.once('socket', socket => {
        const stopWatching = guard.watchStream(socket);
        outgoing.once('close', stopWatching);
      });
      // No byte is sent while the socket is connecting; once it is connected, or
      // if it is reused, bytes may have been sent.
      outgoing.once('socket', socket => {
        socket.setNoDelay(true);
        if (!socket.connecting) progress = 'some';
        else socket.once('connect', () => (progress = 'some'));
      });
      let answer: IncomingMessage | undefined;
      outgoing.on('error', error => {
        stopListening();
        answer?.destroy(error);
        if (outgoing.reusedSocket) this.closeIdle(host, port);
        reject(new TransportError(error.message, progress, error));
      });
      outgoing.once('response', incoming => {
        incoming.once('close', stopListening);
        incoming.on('error', () => {});
        answer = incoming;
        guard.recordHead(incoming);
        resolve(createResponse(incoming, guard));
      });
      outgoing.end(request.body);
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  // If one idle connection has failed or become unresponsive, the others to the
  // same address most likely have too; each would cost its next call a time-out.
  private closeIdle(host: string, port: number): void {
    const name = this.agent.getName({host, port});
    const idle = this.agent.freeSockets[name] ?? [];
    for (const socket of [...idle]) socket.destroy();
  }
}

function createResponse(
  incoming: IncomingMessage,
  guard: AnswerGuard,
): HttpResponse {
  return {
    status: incoming.statusCode ?? 0,
    headers: joinHeaders(incoming.headers),
    body: readIncoming(incoming, guard),
  };
}

async function* readIncoming(
  incoming: IncomingMessage,
  guard: AnswerGuard,
): AsyncGenerator<Uint8Array> {
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      guard.recordBody(chunk.length);
      yield chunk;
    }
  } catch (error) {
    throw new TransportError('the answer broke off', 'some', error);
  }
  if (!incoming.complete) {
    throw new TransportError('the answer broke off', 'some');
  }
}

/** Joins the values of repeated headers by commas, so that each name has one value. */
export function joinHeaders(
  headers: NodeJS.Dict<string | string[]>,
): HttpHeaders {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return flat;
}
