import {SystemClock} from '@hollowstack/clock';
import {TcpPeerNetwork} from '@hollowstack/peers';
import {
  NodeHttpClient,
  NodeHttpServer,
  type HttpHandler,
} from '@hollowstack/transport';
import {findFreeAddresses} from './free-addresses.ts';
import {SystemNetwork, type ProcessEnvironment} from './system-network.ts';

const HOST = '127.0.0.1';

/** Connects processes by real sockets on the loopback interface, on the system clock. */
export class LoopbackNetwork extends SystemNetwork {
  private readonly clock = new SystemClock();
  private readonly servers = new Map<string, NodeHttpServer>();
  private readonly clients: NodeHttpClient[] = [];

  createEnvironment(): ProcessEnvironment {
    const client = new NodeHttpClient();
    this.clients.push(client);
    return {clock: this.clock, client, peerNetwork: new TcpPeerNetwork()};
  }

  async reserveAddress(): Promise<string> {
    const [address] = await findFreeAddresses(1);
    return address;
  }

  async serve(
    _name: string,
    address: string,
    handler: HttpHandler,
  ): Promise<void> {
    const server = new NodeHttpServer(handler);
    await server.listen(HOST, Number(address.split(':')[1]));
    this.servers.set(address, server);
  }

  async stopServing(address: string): Promise<void> {
    await this.servers.get(address)?.close();
    this.servers.delete(address);
  }

  async close(): Promise<void> {
    for (const client of this.clients) client.close();
    for (const server of this.servers.values()) server.closeAllConnections();
    this.servers.clear();
  }
}
