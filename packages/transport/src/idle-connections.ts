import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

interface ConnectionState {
  inProgress: number;
  /** Bytes received when the last answer was handed to the system. */
  readBytes: number;
}

/**
 * Finds the connections of an HTTP server that rest between two requests. The server's own
 * closeIdleConnections() also closes connections whose answer is ended but not yet sent.
 */
export class IdleConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private isClosing = false;

  constructor(server: Server) {
    server.on('request', (incoming, outgoing) =>
      this.recordRequest(incoming, outgoing),
    );
  }

  /** Closes the connections that rest; those that have never carried a request stay open. */
  close(): void {
    for (const [socket, state] of this.states) closeIfResting(socket, state);
  }

  /** Closes the connections that rest, and the others as soon as they do. */
  closeFromNowOn(): void {
    this.isClosing = true;
    this.close();
  }

  private recordRequest(
    {socket}: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    let state = this.states.get(socket);
    if (!state) {
      state = {inProgress: 0, readBytes: 0};
      this.states.set(socket, state);
      socket.once('close', () => this.states.delete(socket));
    }
    const known = state;
    known.inProgress += 1;
    outgoing.once('close', () => {
      known.inProgress -= 1;
      known.readBytes = socket.bytesRead;
      if (this.isClosing) closeIfResting(socket, known);
    });
  }
}

function closeIfResting(
  socket: Socket,
  {inProgress, readBytes}: ConnectionState,
): void {
  if (inProgress === 0 && socket.bytesRead === readBytes) socket.destroy();
}
