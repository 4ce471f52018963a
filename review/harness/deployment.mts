import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {StoreStandIn} from '../../platform/src/stand-in/store-stand-in.ts';
import type {Engine} from './engine.mts';
import {
  GatewayProcess,
  reserveAddresses,
  type DeploymentBounds,
  type GatewayAddresses,
} from './gateway-process.mts';
import type {Recorder} from './recorder.mts';
import {waitMs} from './waiting.mts';

/** A machine of the deployment: its zone, its addresses and its process. */
export interface Machine {
  readonly id: string;
  readonly failureDomain: string;
  readonly addresses: GatewayAddresses;
  process: GatewayProcess;
}

/** Milliseconds after which a process that has ended is started again. */
const RESTART_DELAY_MS = 500;

/** The platform's store, engines and machines, each with a process of the deploy file. */
export class Deployment {
  readonly store = new StoreStandIn();
  readonly engines: Engine[] = [];
  readonly machines: Machine[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly recorder: Recorder;
  private readonly bounds: DeploymentBounds;
  private storeAddress = '';
  private isStopped = false;

  constructor(recorder: Recorder, bounds: DeploymentBounds) {
    this.recorder = recorder;
    this.bounds = bounds;
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.once(signal, () => {
        void this.stop().finally(() => process.exit(2));
      });
    }
  }

  async startStore(configuration: object): Promise<void> {
    this.storeAddress = await this.store.listen();
    this.store.put('op/config', configuration);
  }

  async addEngine(engine: Engine): Promise<void> {
    await engine.listen();
    this.engines.push(engine);
    this.store.put(`servers/${engine.options.id}`, engine.createEntry());
  }

  /** Starts one process on each machine, and waits until all are ready. */
  async startMachines(failureDomains: readonly string[]): Promise<void> {
    const reserved: GatewayAddresses[] = [];
    for (let index = 0; index < failureDomains.length; index++) {
      reserved.push(await reserveAddresses());
    }
    const seeds = reserved.slice(0, 3).map(({peer}) => peer);
    failureDomains.forEach((failureDomain, index) => {
      const addresses = reserved[index];
      const id = `edge-${failureDomain}-${index + 1}`;
      const process = this.createProcess(id, failureDomain, addresses, seeds);
      this.machines.push({id, failureDomain, addresses, process});
    });
    await Promise.all(
      this.machines.map(({process}) => process.waitUntilReady()),
    );
  }

  /** Starts the process of a machine again after the platform's short delay. */
  async restart(machine: Machine): Promise<void> {
    await machine.process.waitForExit();
    await waitMs(RESTART_DELAY_MS);
    if (this.isStopped) return;
    const seeds = this.machines
      .slice(0, 3)
      .map(({addresses}) => addresses.peer);
    machine.process = this.createProcess(
      machine.id,
      machine.failureDomain,
      machine.addresses,
      seeds,
    );
    this.recorder.write(`${machine.id} is started again`);
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const {process} of this.machines) process.signal('SIGCONT');
    for (const {process} of this.machines) process.signal('SIGKILL');
    await Promise.all(this.machines.map(({process}) => process.waitForExit()));
    for (const engine of this.engines) engine.close();
    this.store.close();
    if (process.env['KEEP'] === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }

  private createProcess(
    id: string,
    failureDomain: string,
    addresses: GatewayAddresses,
    seeds: readonly string[],
  ): GatewayProcess {
    const {folder, bounds, storeAddress} = this;
    return new GatewayProcess(
      {id, failureDomain, storeAddress, seeds, bounds, folder},
      addresses,
    );
  }
}

/** Chooses machines for clients as the platform does: by its questions for readiness. */
export class Balancer {
  private readonly machines: readonly Machine[];
  private readonly misses = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(machines: readonly Machine[]) {
    this.machines = machines;
  }

  start(): void {
    this.timer = setInterval(() => {
      for (const machine of this.machines) void this.ask(machine);
    }, 1000);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the machine for a client's new connection. */
  choose(hash: number): Machine {
    const inService = this.machines.filter(
      ({id}) => (this.misses.get(id) ?? 0) < 2,
    );
    const list = inService.length > 0 ? inService : this.machines;
    return list[hash % list.length];
  }

  private async ask(machine: Machine): Promise<void> {
    const isReady = await machine.process.isReady();
    const misses = isReady ? 0 : (this.misses.get(machine.id) ?? 0) + 1;
    this.misses.set(machine.id, misses);
  }
}
