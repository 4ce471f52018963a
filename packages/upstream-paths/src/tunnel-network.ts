import {splitAddress} from '@hollowstack/types';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Opens and accepts the byte streams of tunnels between instances. */
export abstract class TunnelNetwork {
  /** Starts accepting streams; resolves to the bound address. */
  abstract listen(
    address: string,
    handleSocket: (socket: Socket) => void,
  ): Promise<string>;

  /** Begins to open a stream. */
  abstract connect(address: string): Socket;

  /** Stops accepting streams. */
  abstract close(): void;
}

/** Detects the other side's loss of power; the delay before the first probe in milliseconds. */
const KEEP_ALIVE = {
  keepAlive: true,
  keepAliveInitialDelay: 10_000,
};

/** Byte streams over TCP. */
export class TcpTunnelNetwork extends TunnelNetwork {
  private server: Server | undefined;

  listen(
    address: string,
    handleSocket: (socket: Socket) => void,
  ): Promise<string> {
    const {host, port} = splitAddress(address);
    const server = createServer({noDelay: true, ...KEEP_ALIVE}, handleSocket);
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        const bound = server.address() as AddressInfo;
        resolve(`${host}:${bound.port}`);
      });
    });
  }

  connect(address: string): Socket {
    const {host, port} = splitAddress(address);
    return connect({host, port, noDelay: true, ...KEEP_ALIVE});
  }

  close(): void {
    this.server?.close();
  }
}
