import {waitFor, type ManualClock} from '@hollowstack/clock';
import {PeerNetwork, type PeerSocket} from '@hollowstack/peers';
import {LATENCY_MS, type Connection} from './connection.ts';

/** In-memory streams between the instances of a fleet. */
export class ViewPeerNetwork extends PeerNetwork {
  private readonly clock: ManualClock;
  private readonly listeners: Map<string, (socket: PeerSocket) => void>;
  private readonly openConnections = new Set<Connection>();

  constructor(
    clock: ManualClock,
    listeners: Map<string, (socket: PeerSocket) => void>,
  ) {
    super();
    this.clock = clock;
    this.listeners = listeners;
  }

  silenceConnections(isAffected: () => boolean): void {
    for (const connection of this.openConnections) {
      if (isAffected()) connection.isSilent = true;
    }
  }

  async listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string> {
    this.listeners.set(address, handleSocket);
    return address;
  }

  async connect(address: string): Promise<PeerSocket> {
    await waitFor(this.clock, LATENCY_MS);
    const connection = {isSilent: false};
    const connectingSocket = new ViewPeerSocket(this.clock, connection);
    const acceptedSocket = new ViewPeerSocket(this.clock, connection);
    connectingSocket.remoteSocket = acceptedSocket;
    acceptedSocket.remoteSocket = connectingSocket;
    this.openConnections.add(connection);
    this.listeners.get(address)?.(acceptedSocket);
    return connectingSocket;
  }

  close(): void {}
}

class ViewPeerSocket implements PeerSocket {
  remoteSocket: ViewPeerSocket | undefined;
  private readonly clock: ManualClock;
  private readonly connection: Connection;
  private handleData: (bytes: Uint8Array) => void = () => {};
  private handleClose: () => void = () => {};
  private isClosed = false;

  constructor(clock: ManualClock, connection: Connection) {
    this.clock = clock;
    this.connection = connection;
  }

  send(bytes: Uint8Array): void {
    this.deliver(socket => socket.handleData(bytes));
  }

  setDataHandler(handleData: (bytes: Uint8Array) => void): void {
    this.handleData = handleData;
  }

  setCloseHandler(handleClose: () => void): void {
    this.handleClose = handleClose;
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.deliver(socket => socket.close());
    this.handleClose();
  }

  private deliver(deliverTo: (socket: ViewPeerSocket) => void): void {
    if (this.connection.isSilent) return;
    this.clock.schedule(LATENCY_MS, () => {
      if (!this.connection.isSilent && this.remoteSocket)
        deliverTo(this.remoteSocket);
    });
  }
}
