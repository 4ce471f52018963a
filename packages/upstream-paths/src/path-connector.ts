import {
  Connector,
  type ConnectTarget,
  type Connection,
} from '@hollowstack/transport';
import type {PathTable} from './path-table.ts';

/** Dependencies of PathConnector. */
export interface PathConnectorParts {
  /** Establishes direct connections. */
  readonly direct: Connector;
  readonly table: PathTable;
}

/** Connects to upstreams and records which direct paths work. */
export class PathConnector extends Connector {
  private readonly parts: PathConnectorParts;

  constructor(parts: PathConnectorParts) {
    super();
    this.parts = parts;
  }

  async connect(target: ConnectTarget): Promise<Connection> {
    const {direct, table} = this.parts;
    try {
      const connection = await direct.connect(target);
      table.recordConnected(target.address);
      return connection;
    } catch (error) {
      if (!target.signal?.aborted) table.recordLost(target.address);
      throw error;
    }
  }

  isPathLost(): boolean {
    return false;
  }
}
