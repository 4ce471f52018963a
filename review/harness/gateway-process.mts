import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {join} from 'node:path';
import {waitMs} from './waiting.mts';

/** Bounds of a deployment, in the fields that the settings template of the project fills. */
export interface DeploymentBounds {
  readonly drainMs: number;
  readonly propagationMs: number;
  readonly graceSeconds: number;
  readonly retryBudgetRatio: number;
  readonly retryWindowSeconds: number;
  readonly retryBurst: number;
}

/** Settings of one gateway process. */
export interface GatewayOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly storeAddress: string;
  readonly seeds: readonly string[];
  readonly bounds: DeploymentBounds;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** Address that peers are told instead of the own one. */
  readonly advertisedPeerAddress?: string;
}

/** Addresses of one gateway process. */
export interface GatewayAddresses {
  readonly frontend: string;
  readonly readiness: string;
  readonly peer: string;
  readonly tunnel: string;
  readonly metrics: string;
}

const BINARY = 'target/hollowstack';

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
let nextPort = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds free loopback addresses. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = nextPort;
    nextPort = FIRST_PORT + ((nextPort + 1 - FIRST_PORT) % PORT_COUNT);
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

/** Reserves the addresses of one gateway process. */
export async function reserveAddresses(): Promise<GatewayAddresses> {
  const [frontend, readiness, peer, tunnel, metrics] =
    await findFreeAddresses(5);
  return {frontend, readiness, peer, tunnel, metrics};
}

/** One process of the deploy file's command, with settings like those of its template. */
export class GatewayProcess {
  readonly id: string;
  readonly addresses: GatewayAddresses;
  private readonly child: ChildProcess;
  private hasExited = false;
  private exit: string | undefined;
  private readonly exited: Promise<void>;

  constructor(options: GatewayOptions, addresses: GatewayAddresses) {
    this.id = options.id;
    this.addresses = addresses;
    mkdirSync(options.folder, {recursive: true});
    const settingsPath = join(options.folder, `${options.id}.toml`);
    writeFileSync(settingsPath, renderSettings(options, addresses));
    const log = createWriteStream(join(options.folder, `${options.id}.log`), {
      flags: 'a',
    });
    this.child = spawn(BINARY, ['gateway', '--settings', settingsPath], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {PATH: process.env['PATH'] ?? '', HOME: process.env['HOME'] ?? ''},
    });
    this.child.stdout?.pipe(log);
    this.child.stderr?.pipe(log);
    this.exited = new Promise(resolve => {
      this.child.once('exit', (code, signal) => {
        this.hasExited = true;
        this.exit = signal ?? `code ${code}`;
        resolve();
      });
    });
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Returns how the process ended; undefined while it runs. */
  getExit(): string | undefined {
    return this.exit;
  }

  /** Sends a signal to this process. */
  signal(name: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(name);
  }

  /** Resolves once the process has ended. */
  waitForExit(): Promise<void> {
    return this.exited;
  }

  /** Asks the readiness address as the platform does. */
  isReady(): Promise<boolean> {
    return new Promise(resolve => {
      const request = get(
        `http://${this.addresses.readiness}/-/readyz`,
        {agent: false, timeout: 1000},
        answer => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      request.once('error', () => resolve(false));
      request.once('timeout', () => request.destroy());
    });
  }

  /** Waits until the process is ready. @throws Error after the limit. */
  async waitUntilReady(limitMs = 15_000): Promise<void> {
    const endMs = performance.now() + limitMs;
    while (!(await this.isReady())) {
      if (this.hasExited) throw new Error(`${this.id} ended: ${this.exit}`);
      if (performance.now() > endMs)
        throw new Error(`${this.id} is not ready in time`);
      await waitMs(50);
    }
  }
}

function renderSettings(
  options: GatewayOptions,
  addresses: GatewayAddresses,
): string {
  const {bounds} = options;
  const advertised = options.advertisedPeerAddress
    ? `advertisedPeerAddress = "${options.advertisedPeerAddress}"\n`
    : '';
  return `[instance]
id = "${options.id}"
failureDomain = "${options.failureDomain}"
cpuShare = 0.675
cpuSpeed = 1

[listen]
address = "${addresses.frontend}"
probeAddress = "${addresses.readiness}"
peerAddress = "${addresses.peer}"
tunnelAddress = "${addresses.tunnel}"
metricsAddress = "${addresses.metrics}"
${advertised}
[store]
address = "${options.storeAddress}"
followWithinMs = ${bounds.drainMs}
configureWithinMs = ${bounds.propagationMs}

[peers]
seeds = ${JSON.stringify(options.seeds)}
keys = [{ id = "deploy", secret = "hollowstack-between-machines" }]

[retries]
ratio = ${bounds.retryBudgetRatio}
windowSeconds = ${bounds.retryWindowSeconds}
burst = ${bounds.retryBurst}

[drain]
limitSeconds = ${bounds.graceSeconds}
`;
}
