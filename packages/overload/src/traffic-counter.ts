/** The part of a connection that is counted. */
export interface CountedSocket {
  /** Bytes received so far. */
  readonly bytesRead: number;
  /** Bytes handed over for sending so far. */
  readonly bytesWritten: number;
  once(event: 'close', listener: () => void): unknown;
}

/** Bytes that passed connections, in each direction. */
export interface Traffic {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Counts the bytes of connections, of open ones as well as of closed ones. */
export class TrafficCounter {
  private readonly open = new Set<CountedSocket>();
  private closedReceivedBytes = 0;
  private closedSentBytes = 0;

  /** Counts the bytes of a connection from now on until it is closed. */
  addSocket(socket: CountedSocket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedReceivedBytes += socket.bytesRead;
      this.closedSentBytes += socket.bytesWritten;
    });
  }

  /** Returns the bytes of all connections since the start. */
  getTraffic(): Traffic {
    let receivedBytes = this.closedReceivedBytes;
    let sentBytes = this.closedSentBytes;
    for (const {bytesRead, bytesWritten} of this.open) {
      receivedBytes += bytesRead;
      sentBytes += bytesWritten;
    }
    return {receivedBytes, sentBytes};
  }
}
