import {PeerNetwork, type PeerSocket} from '@hollowstack/peers';
import type {MemoryNetwork} from './memory-network.ts';
import type {SimulatedProcess} from './simulated-process.ts';

/** Who takes peer streams at an address. */
export interface PeerListener {
  readonly name: string;
  readonly simulatedProcess: SimulatedProcess;
  readonly handleSocket: (socket: PeerSocket) => void;
}

/** Peer streams through the in-memory network. */
export class MemoryPeerNetwork extends PeerNetwork {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly gate: SimulatedProcess;
  private address: string | undefined;

  constructor(network: MemoryNetwork, name: string, gate: SimulatedProcess) {
    super();
    this.network = network;
    this.name = name;
    this.gate = gate;
  }

  async listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string> {
    this.address = address;
    const {name, gate} = this;
    this.network.setListener(address, {
      name,
      simulatedProcess: gate,
      handleSocket,
    });
    return address;
  }

  async connect(address: string): Promise<PeerSocket> {
    await this.gate.waitUntilRunning();
    const listener = this.network.findListener(address);
    await this.network.waitLatency(this.name, listener?.name ?? '');
    await this.gate.waitUntilRunning();
    const isReachable =
      listener &&
      !listener.simulatedProcess.isDead() &&
      !this.network.isCut(this.name, listener.name);
    if (!isReachable) throw new Error(`${address} refuses connections`);
    const near = new MemoryPeerSocket(this.network, this.name, this.gate);
    const far = new MemoryPeerSocket(
      this.network,
      listener.name,
      listener.simulatedProcess,
    );
    near.join(far);
    far.join(near);
    listener.simulatedProcess.deliver(() => listener.handleSocket(far));
    return near;
  }

  close(): void {
    if (this.address) this.network.setListener(this.address, undefined);
  }
}

class MemoryPeerSocket implements PeerSocket {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly gate: SimulatedProcess;
  private other: MemoryPeerSocket | undefined;
  private handleData: (bytes: Uint8Array) => void = () => {};
  private handleClose: () => void = () => {};
  private isClosed = false;
  // Bytes of one stream keep their order whatever the latencies are.
  private lastDelivery: Promise<void> = Promise.resolve();

  constructor(network: MemoryNetwork, name: string, gate: SimulatedProcess) {
    this.network = network;
    this.name = name;
    this.gate = gate;
    gate.addDeathListener(() => this.close());
  }

  join(other: MemoryPeerSocket): void {
    this.other = other;
  }

  send(bytes: Uint8Array): void {
    if (this.isClosed || !this.other) return;
    const {other} = this;
    if (this.network.isCut(this.name, other.name)) {
      this.close();
      return;
    }
    this.network.recordPeerMessage(bytes.length);
    const way = this.network.waitLatency(this.name, other.name);
    this.lastDelivery = this.lastDelivery.then(async () => {
      await way;
      other.handleBytes(bytes);
    });
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
    this.gate.deliver(() => this.handleClose());
    const {other} = this;
    void this.network
      .waitLatency(this.name, other?.name ?? '')
      .then(() => other?.close());
  }

  private handleBytes(bytes: Uint8Array): void {
    if (this.isClosed) return;
    this.gate.deliver(() => {
      if (!this.isClosed) this.handleData(bytes);
    });
  }
}
