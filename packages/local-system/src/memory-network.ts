import {waitFor, type Clock} from '@hollowstack/clock';
import type {HttpHandler} from '@hollowstack/transport';
import {PausableClock} from './pausable-clock.ts';
import {MemoryHttpClient} from './memory-http-client.ts';
import {MemoryPeerNetwork, type PeerListener} from './memory-peer-network.ts';
import {SimulatedProcess} from './simulated-process.ts';
import {SystemNetwork, type ProcessEnvironment} from './system-network.ts';

/** Delays of the in-memory network. */
export interface MemoryNetworkOptions {
  /** Milliseconds one way between two processes; may differ from message to message. */
  readonly getLatencyMs: (from: string, to: string) => number;
}

/** What is served at an address. */
export interface ServedHandler {
  readonly name: string;
  readonly simulatedProcess: SimulatedProcess;
  readonly handler: HttpHandler;
}

/** Connects processes in memory over any clock; a test pauses, kills and cuts them off. */
export class MemoryNetwork extends SystemNetwork {
  private readonly clock: Clock;
  private readonly options: MemoryNetworkOptions;
  private readonly gates = new Map<string, SimulatedProcess>();
  private readonly handlers = new Map<string, ServedHandler>();
  private readonly listeners = new Map<string, PeerListener>();
  private readonly cuts = new Set<string>();
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
    const gate = this.getProcess(name);
    return {
      clock: new PausableClock(this.clock, gate),
      client: new MemoryHttpClient(this, name, gate),
      peerNetwork: new MemoryPeerNetwork(this, name, gate),
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
    for (const gate of this.gates.values()) gate.kill();
  }

  /** Returns the switch that pauses and kills a process. */
  getProcess(name: string): SimulatedProcess {
    let gate = this.gates.get(name);
    if (!gate || gate.isDead()) {
      gate = new SimulatedProcess();
      this.gates.set(name, gate);
    }
    return gate;
  }

  /** Cuts two processes off from each other, or joins them again. */
  setPartitioned(left: string, right: string, isPartitioned: boolean): void {
    const key = createPairKey(left, right);
    if (isPartitioned) this.cuts.add(key);
    else this.cuts.delete(key);
  }

  /** Joins all processes again. */
  removePartitions(): void {
    this.cuts.clear();
  }

  isCut(left: string, right: string): boolean {
    return this.cuts.has(createPairKey(left, right));
  }

  /** Loses the next replies of an address after the request took effect. */
  setLostReplies(address: string, count: number): void {
    this.lostReplies.set(address, count);
  }

  /** Returns whether the reply at hand is to be lost. */
  takeLostReply(address: string): boolean {
    const left = this.lostReplies.get(address) ?? 0;
    if (left === 0) return false;
    this.lostReplies.set(address, left - 1);
    return true;
  }

  /** Counts one message between peers. */
  recordPeerMessage(bytes: number): void {
    this.peerBytes += bytes;
    this.peerMessages += 1;
  }

  /** Returns what went between peers so far, each message once. */
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

  /** Waits for one message's way. */
  waitLatency(from: string, to: string): Promise<void> {
    const latencyMs = this.options.getLatencyMs(from, to);
    if (latencyMs <= 0) return Promise.resolve();
    return waitFor(this.clock, latencyMs);
  }
}

function createPairKey(left: string, right: string): string {
  return [left, right].sort().join('|');
}
