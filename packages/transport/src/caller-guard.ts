import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What a connection of a caller carried too much of. */
export type SurplusKind = 'requests' | 'unread-body' | 'no-request';

interface ConnectionState {
  /** The latest request. */
  incoming: IncomingMessage | undefined;
  /** Number of requests that are not answered. */
  inProgress: number;
  /** Number of checks since the latest request was answered before its body had arrived. */
  unreadChecks: number | undefined;
  /** Bytes received when the latest request was complete, or was answered. */
  settledBytes: number | undefined;
}

/** Number of requests that may be in progress on one connection. */
const MAX_PIPELINED = 16;
/** Number of checks for which the rest of a body is received after its request was answered. */
const MAX_UNREAD_CHECKS = 4;
/** Number of bytes of such a rest. */
const MAX_UNREAD_BYTES = 1024 * 1024;
/** Milliseconds between two checks that callers of `checkConnections` should keep. */
export const CALLER_CHECK_INTERVAL_MS = 250;

/**
 * Closes connections of callers that send without end what is no request: the runtime limits
 * heads, but neither empty lines before a request nor the rest of a body whose request has been
 * answered, nor the number of requests on a connection.
 */
export class CallerGuard {
  private readonly handleSurplus: (kind: SurplusKind, peer: string) => void;
  private readonly states = new Map<Socket, ConnectionState>();
  private maxHeadBytes = 64 * 1024;

  /** @param handleSurplus Called when a connection is closed, with the caller's address. */
  constructor(
    handleSurplus: (kind: SurplusKind, peer: string) => void = () => {},
  ) {
    this.handleSurplus = handleSurplus;
  }

  /** Sets the size of the largest head that is accepted. */
  setHeaderBytes(headerBytes: number): void {
    this.maxHeadBytes = 2 * headerBytes;
  }

  /** Watches the connections of a server. */
  addServer(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.states.set(socket, {
        incoming: undefined,
        inProgress: 0,
        unreadChecks: undefined,
        settledBytes: 0,
      });
      socket.once('close', () => this.states.delete(socket));
    });
  }

  /** Records a request; returns whether it may be handled. */
  recordRequest(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
    const {socket} = incoming;
    const state = this.states.get(socket);
    if (!state || socket.destroyed) return !socket.destroyed;
    if (state.inProgress >= MAX_PIPELINED) {
      this.closeConnection(socket, 'requests');
      return false;
    }
    state.incoming = incoming;
    state.inProgress += 1;
    state.unreadChecks = undefined;
    state.settledBytes = undefined;
    outgoing.once('close', () => {
      state.inProgress -= 1;
      if (state.incoming !== incoming || incoming.complete) return;
      state.unreadChecks = 0;
      state.settledBytes = socket.bytesRead;
    });
    return true;
  }

  /** Closes connections that have carried too much since the last check. */
  checkConnections(): void {
    for (const [socket, state] of this.states) {
      const kind = this.checkConnection(socket, state);
      if (kind) this.closeConnection(socket, kind);
    }
  }

  // Returns what the connection has carried too much of.
  private checkConnection(
    {bytesRead}: Socket,
    state: ConnectionState,
  ): SurplusKind | undefined {
    const isBodyArriving = state.incoming?.complete === false;
    if (!isBodyArriving) {
      if (state.unreadChecks !== undefined) state.settledBytes = bytesRead;
      state.unreadChecks = undefined;
      state.settledBytes ??= bytesRead;
      const surplusBytes = bytesRead - state.settledBytes;
      return surplusBytes > this.maxHeadBytes ? 'no-request' : undefined;
    }
    // The reader of a body limits it until its request is answered.
    if (state.unreadChecks === undefined) return undefined;
    state.unreadChecks += 1;
    const unreadBytes = bytesRead - (state.settledBytes ?? 0);
    const isOver =
      state.unreadChecks > MAX_UNREAD_CHECKS || unreadBytes > MAX_UNREAD_BYTES;
    return isOver ? 'unread-body' : undefined;
  }

  private closeConnection(socket: Socket, kind: SurplusKind): void {
    this.handleSurplus(kind, socket.remoteAddress ?? '');
    socket.destroy();
  }
}
