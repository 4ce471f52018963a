import {splitAddress} from '@hollowstack/types';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {PeerNetwork, type PeerSocket} from './peer-network.ts';

/** Milliseconds to establish a connection; about a hundred round trips. */
const CONNECT_TIMEOUT_MS = 1000;
/**
 * Keep-alive probes of idle streams. The side that accepted a stream only sends replies,
 * and would keep the stream forever after the other side lost power; with the probes, the
 * kernel closes it after 25 s. The side that sends requests detects an unresponsive stream
 * much sooner.
 */
const KEEP_ALIVE = {
  enable: true,
  initialDelay: 10_000,
  interval: 5000,
  count: 3,
};

/** Byte streams over TCP. */
export class TcpPeerNetwork extends PeerNetwork {
  private server: Server | undefined;

  listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string> {
    const {host, port} = splitAddress(address);
    const server = createServer({noDelay: true}, socket =>
      handleSocket(new TcpPeerSocket(socket)),
    );
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        const bound = server.address() as AddressInfo;
        resolve(`${host}:${bound.port}`);
      });
    });
  }

  connect(address: string): Promise<PeerSocket> {
    const {host, port} = splitAddress(address);
    return new Promise((resolve, reject) => {
      const socket = connect({host, port, noDelay: true});
      socket.setTimeout(CONNECT_TIMEOUT_MS, () =>
        socket.destroy(new Error('connecting took too long')),
      );
      socket.once('error', reject);
      socket.once('connect', () => {
        socket.setTimeout(0);
        socket.off('error', reject);
        resolve(new TcpPeerSocket(socket));
      });
    });
  }

  close(): void {
    this.server?.close();
  }
}

class TcpPeerSocket implements PeerSocket {
  private readonly socket: Socket;

  constructor(socket: Socket) {
    this.socket = socket;
    socket.setKeepAlive(KEEP_ALIVE);
    // 'close' follows every error, and the link handles that event.
    socket.on('error', () => {});
  }

  send(bytes: Uint8Array): void {
    if (this.socket.writable) this.socket.write(bytes);
  }

  setDataHandler(handleData: (bytes: Uint8Array) => void): void {
    this.socket.on('data', handleData);
  }

  setCloseHandler(handleClose: () => void): void {
    this.socket.once('close', handleClose);
  }

  close(): void {
    this.socket.destroy();
  }
}
