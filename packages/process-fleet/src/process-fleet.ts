import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  LoopbackNetwork,
  OPERATOR_KEY,
  SystemCaller,
  createSampleConfiguration,
  type SampleUpstreams,
} from '@hollowstack/local-system';
import type {ConfigObject, Upstream} from '@hollowstack/types';
import {ChildProcess} from './child-process.ts';

/** Number of processes of each kind. */
export interface FleetOptions {
  readonly entries: number;
  readonly encoders: number;
  readonly retrievers: number;
  readonly rerankers: number;
  readonly engines: number;
  /** Additional command-line arguments of each engine stand-in. */
  readonly engineArguments?: readonly string[];
}

/** An entry daemon of the fleet. */
export interface EntryProcess {
  readonly id: string;
  readonly process: ChildProcess;
  readonly caller: SystemCaller;
}

/** A stand-in process of the fleet. */
export interface UpstreamProcess {
  readonly process: ChildProcess;
  readonly upstream: Upstream;
  readonly control: SystemCaller;
}

const READY_EVENT = '"name":"entry.ready"';
const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'];

/** A complete system of separate processes on the loopback interface. */
export class ProcessFleet {
  readonly entries: EntryProcess[] = [];
  readonly engines: UpstreamProcess[] = [];
  readonly bookings: UpstreamProcess[] = [];
  private readonly network = new LoopbackNetwork();
  private readonly client = this.network.createEnvironment().client;
  private readonly folder = mkdtempSync(join(tmpdir(), 'hollowstack-'));
  private readonly processes: ChildProcess[] = [];
  private readonly options: FleetOptions;
  private platform: UpstreamProcess | undefined;
  private upstreams: SampleUpstreams | undefined;
  private readonly peerAddresses: string[] = [];
  private nextEntry = 1;

  constructor(options: FleetOptions) {
    this.options = options;
  }

  /** Starts all processes, publishes the sample configuration and waits until all daemons are ready. */
  async start(): Promise<void> {
    const {encoders, retrievers, rerankers, engines, entries} = this.options;
    this.platform = await this.startStandIn('platform', 'platform');
    const [encode, retrieve, rerank, engine, service] = await Promise.all([
      this.startUpstreams('pool', 'encoder', encoders),
      this.startUpstreams('pool', 'retriever', retrievers),
      this.startUpstreams('pool', 'reranker', rerankers),
      this.startUpstreams('engine', 'engine', engines),
      this.startUpstreams('service', 'booking', 1),
    ]);
    this.engines.push(...engine);
    this.bookings.push(...service);
    this.upstreams = {
      encode: listUpstreams(encode),
      retrieve: listUpstreams(retrieve),
      rerank: listUpstreams(rerank),
      generate: listUpstreams(engine),
      booking: listUpstreams(service),
    };
    await Promise.all(Array.from({length: entries}, () => this.startEntry()));
    await this.publish(createSampleConfiguration(this.upstreams), 0);
    await Promise.all(
      this.entries.map(({process}) => this.waitUntilReady(process)),
    );
  }

  /** Starts an additional daemon; it may not be ready when this resolves. */
  async startEntry(): Promise<EntryProcess> {
    const number = this.nextEntry++;
    const id = `entry-${number}`;
    const address = await this.network.reserveAddress();
    const path = join(this.folder, `${id}.toml`);
    writeFileSync(path, await this.formatSettings(id, address, number));
    const process = this.startProcess(['entry', '--settings', path]);
    const caller = new SystemCaller(this.client, address);
    const entry = {id, process, caller};
    await process.waitForLine(line => line.includes('"name":"entry.starting"'));
    this.entries.push(entry);
    return entry;
  }

  /** Resolves once a daemon has logged that it accepts requests. */
  async waitUntilReady(process: ChildProcess): Promise<void> {
    await process.waitForLine(line => line.includes(READY_EVENT));
  }

  /**
   * Publishes objects through the first daemon; resolves to the new revision.
   *
   * @throws Error if the daemon does not accept them.
   */
  async publish(
    objects: readonly ConfigObject[],
    baseRevision?: number,
  ): Promise<number> {
    const answer = await this.entries[0].caller.callOperator(
      'POST',
      'configuration',
      {
        changeId: `change-${Date.now()}-${Math.random()}`,
        author: 'fleet',
        baseRevision,
        objects,
      },
    );
    if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
    return (answer.body as {revision: number}).revision;
  }

  /** Removes a daemon from the list, as a load balancer does. */
  removeEntry(entry: EntryProcess): void {
    this.entries.splice(this.entries.indexOf(entry), 1);
  }

  /** Returns the upstreams of the sample configuration; call it after `start`. */
  getUpstreams(): SampleUpstreams {
    return this.upstreams!;
  }

  /** Sets faults of the platform stand-in. */
  async setPlatformFaults(faults: object): Promise<void> {
    await this.platform!.control.send('POST', '/stand-in/faults', faults);
  }

  /** Kills all processes and removes their settings. */
  async stop(): Promise<void> {
    for (const process of this.processes) {
      process.send('SIGCONT');
      process.send('SIGKILL');
    }
    await Promise.all(this.processes.map(({exited}) => exited));
    await this.network.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private startUpstreams(
    kind: string,
    name: string,
    count: number,
  ): Promise<UpstreamProcess[]> {
    const started = Array.from({length: count}, (_, index) =>
      this.startStandIn(kind, `${name}-${index + 1}`),
    );
    return Promise.all(started);
  }

  private async startStandIn(
    kind: string,
    id: string,
  ): Promise<UpstreamProcess> {
    const extra = kind === 'engine' ? this.options.engineArguments : undefined;
    const process = this.startProcess(['stand-in', kind, ...(extra ?? [])]);
    const line = await process.waitForLine(text => text.includes('listening'));
    const {listening} = JSON.parse(line) as {listening: string};
    const failureDomain =
      FAILURE_DOMAINS[this.processes.length % FAILURE_DOMAINS.length];
    return {
      process,
      upstream: {id, address: listening, failureDomain, checksFence: false},
      control: new SystemCaller(this.client, listening),
    };
  }

  private startProcess(args: readonly string[]): ChildProcess {
    const process = new ChildProcess(args);
    this.processes.push(process);
    return process;
  }

  private async formatSettings(
    id: string,
    address: string,
    number: number,
  ): Promise<string> {
    const peerAddress = await this.network.reserveAddress();
    const seeds = this.peerAddresses.map(seed => `"${seed}"`).join(', ');
    this.peerAddresses.push(peerAddress);
    return `
[instance]
id = "${id}"
failureDomain = "${FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]}"

[listen]
address = "${address}"
peerAddress = "${peerAddress}"

[platform]
address = "${this.platform!.upstream.address}"
timeoutMs = 1000

[peers]
seeds = [${seeds}]
keys = [{id = "test", secret = "peer-secret-for-tests"}]

[operators]
keys = ["${OPERATOR_KEY}"]

[drain]
graceMs = 2500
limitMs = 20000
`;
  }
}

function listUpstreams(processes: readonly UpstreamProcess[]): Upstream[] {
  return processes.map(({upstream}) => upstream);
}
