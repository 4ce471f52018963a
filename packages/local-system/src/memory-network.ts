import {waitFor, type Clock} from '@hollowstack/clock';
import type {HttpHandler} from '@hollowstack/transport';
import {PausableClock} from './pausable-clock.ts';
import {MemoryHttpClient} from './memory-http-client.ts';
import {MemoryPeerNetwork, type PeerListener} from './memory-peer-network.ts';
import {SimulatedProcess} from './simulated-process.ts';
import {SystemNetwork, type ProcessEnvironment} from './system-network.ts';

/** Latency of the in-memory network. */
export interface MemoryNetworkOptions {
  /** Returns the one-way latency in milliseconds; called once for each message. */
  readonly getLatencyMs: (from: string, to: string) => number;
}

/** The HTTP handler that serves an address, and the process that it runs in. */
export interface ServedHandler {
  readonly name: string;
  readonly simulatedProcess: SimulatedProcess;
  readonly handler: HttpHandler;
}

/** Connects processes in memory, on any clock; tests can pause, kill and partition them. */
export class MemoryNetwork extends SystemNetwork {
  private readonly clock: Clock;
  private readonly options: MemoryNetworkOptions;
  private readonly processes = new Map<string, SimulatedProcess>();
  private readonly handlers = new Map<string, ServedHandler>();
  private readonly listeners = new Map<string, PeerListener>();
  private readonly partitions = new Set<string>();
  private readonly lostReplies = new Map<string, number>();
  private peerBytes = 0;
  private peerMessages = 0;
  private nextPort = 1;

  constructor(clock: Clock, options: MemoryNetworkOptions) {
    super();
    this.clock = clock;
    this.options = options;
  }

  createEnvironment(name: string): ProcessEnvironment {
    const simulatedProcess = this.getProcess(name);
    return {
      clock: new PausableClock(this.clock, simulatedProcess),
      client: new MemoryHttpClient(this, name, simulatedProcess),
      peerNetwork: new MemoryPeerNetwork(this, name, simulatedProcess),
    };
  }

  async reserveAddress(): Promise<string> {
    return `127.0.0.1:${this.nextPort++}`;
  }

  async serve(
    name: string,
    address: string,
    handler: HttpHandler,
  ): Promise<void> {
    this.handlers.set(address, {
      name,
      simulatedProcess: this.getProcess(name),
      handler,
    });
  }

  async stopServing(address: string): Promise<void> {
    this.handlers.delete(address);
  }

  async close(): Promise<void> {
    for (const simulatedProcess of this.processes.values())
      simulatedProcess.kill();
  }

  /** Returns the process with a name; creates a new one if there is none or if it was killed. */
  getProcess(name: string): SimulatedProcess {
    let simulatedProcess = this.processes.get(name);
    if (!simulatedProcess || simulatedProcess.isDead()) {
      simulatedProcess = new SimulatedProcess();
      this.processes.set(name, simulatedProcess);
    }
    return simulatedProcess;
  }

  /** Partitions two processes from each other, or heals the partition. */
  setPartitioned(left: string, right: string, isPartitioned: boolean): void {
    const key = createPairKey(left, right);
    if (isPartitioned) this.partitions.add(key);
    else this.partitions.delete(key);
  }

  /** Heals all partitions. */
  removePartitions(): void {
    this.partitions.clear();
  }

  isPartitioned(left: string, right: string): boolean {
    return this.partitions.has(createPairKey(left, right));
  }

  /** Drops the next replies from an address; their requests take effect. */
  setLostReplies(address: string, count: number): void {
    this.lostReplies.set(address, count);
  }

  /** Returns whether to drop the current reply from an address, and counts it as dropped. */
  takeLostReply(address: string): boolean {
    const left = this.lostReplies.get(address) ?? 0;
    if (left === 0) return false;
    this.lostReplies.set(address, left - 1);
    return true;
  }

  /** Counts one message between peers in the traffic totals. */
  recordPeerMessage(bytes: number): void {
    this.peerBytes += bytes;
    this.peerMessages += 1;
  }

  /** Returns the totals of peer traffic sent so far; each message is counted once. */
  getPeerTraffic(): {readonly bytes: number; readonly messages: number} {
    return {bytes: this.peerBytes, messages: this.peerMessages};
  }

  findHandler(address: string): ServedHandler | undefined {
    return this.handlers.get(address);
  }

  findListener(address: string): PeerListener | undefined {
    return this.listeners.get(address);
  }

  setListener(address: string, listener: PeerListener | undefined): void {
    if (listener) this.listeners.set(address, listener);
    else this.listeners.delete(address);
  }

  /** Waits for the latency of one message. */
  waitLatency(from: string, to: string): Promise<void> {
    const latencyMs = this.options.getLatencyMs(from, to);
    if (latencyMs <= 0) return Promise.resolve();
    return waitFor(this.clock, latencyMs);
  }
}

function createPairKey(left: string, right: string): string {
  return [left, right].sort().join('|');
}
