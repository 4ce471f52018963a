import {PeerNetwork, type PeerSocket} from '@hollowstack/peers';
import type {MemoryNetwork} from './memory-network.ts';
import type {SimulatedProcess} from './simulated-process.ts';

/** Accepts peer streams at an address. */
export interface PeerListener {
  readonly name: string;
  readonly simulatedProcess: SimulatedProcess;
  readonly handleSocket: (socket: PeerSocket) => void;
}

/** Opens and accepts peer streams through the in-memory network on behalf of one process. */
export class MemoryPeerNetwork extends PeerNetwork {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly simulatedProcess: SimulatedProcess;
  private address: string | undefined;

  constructor(
    network: MemoryNetwork,
    name: string,
    simulatedProcess: SimulatedProcess,
  ) {
    super();
    this.network = network;
    this.name = name;
    this.simulatedProcess = simulatedProcess;
  }

  async listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string> {
    this.address = address;
    const {name, simulatedProcess} = this;
    this.network.setListener(address, {
      name,
      simulatedProcess,
      handleSocket,
    });
    return address;
  }

  async connect(address: string): Promise<PeerSocket> {
    await this.simulatedProcess.waitUntilRunning();
    const listener = this.network.findListener(address);
    await this.network.waitLatency(this.name, listener?.name ?? '');
    await this.simulatedProcess.waitUntilRunning();
    const isReachable =
      listener &&
      !listener.simulatedProcess.isDead() &&
      !this.network.isPartitioned(this.name, listener.name);
    if (!isReachable) throw new Error(`${address} refuses connections`);
    const near = new MemoryPeerSocket(
      this.network,
      this.name,
      this.simulatedProcess,
    );
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
  private readonly simulatedProcess: SimulatedProcess;
  private remote: MemoryPeerSocket | undefined;
  private handleData: (bytes: Uint8Array) => void = () => {};
  private handleClose: () => void = () => {};
  private isClosed = false;
  // Chains deliveries, so that bytes arrive in order although latencies differ.
  private lastDelivery: Promise<void> = Promise.resolve();

  constructor(
    network: MemoryNetwork,
    name: string,
    simulatedProcess: SimulatedProcess,
  ) {
    this.network = network;
    this.name = name;
    this.simulatedProcess = simulatedProcess;
    simulatedProcess.addDeathListener(() => this.close());
  }

  join(remote: MemoryPeerSocket): void {
    this.remote = remote;
  }

  send(bytes: Uint8Array): void {
    if (this.isClosed || !this.remote) return;
    const {remote} = this;
    if (this.network.isPartitioned(this.name, remote.name)) {
      this.close();
      return;
    }
    this.network.recordPeerMessage(bytes.length);
    const latency = this.network.waitLatency(this.name, remote.name);
    this.lastDelivery = this.lastDelivery.then(async () => {
      await latency;
      remote.handleBytes(bytes);
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
    this.simulatedProcess.deliver(() => this.handleClose());
    const {remote} = this;
    void this.network
      .waitLatency(this.name, remote?.name ?? '')
      .then(() => remote?.close());
  }

  private handleBytes(bytes: Uint8Array): void {
    if (this.isClosed) return;
    this.simulatedProcess.deliver(() => {
      if (!this.isClosed) this.handleData(bytes);
    });
  }
}
