import type {TrafficCounter} from '@hollowstack/overload';
import {
  Connector,
  type Connection,
  type ConnectTarget,
} from '@hollowstack/transport';
import {Socket} from 'node:net';

/** Counts the bytes of the connections that another connector establishes. */
export class CountedConnector extends Connector {
  private readonly connector: Connector;
  private readonly traffic: TrafficCounter;

  constructor(connector: Connector, traffic: TrafficCounter) {
    super();
    this.connector = connector;
    this.traffic = traffic;
  }

  async connect(target: ConnectTarget): Promise<Connection> {
    const connection = await this.connector.connect(target);
    const {stream} = connection;
    if (stream instanceof Socket) this.traffic.addSocket(stream);
    return connection;
  }

  isPathLost(address: string): boolean {
    return this.connector.isPathLost(address);
  }

  hasOutage(): boolean {
    return this.connector.hasOutage();
  }
}
