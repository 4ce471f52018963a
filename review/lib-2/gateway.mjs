// Starts the project's program as the deploy file does, as a process of its own.
import {spawn} from 'node:child_process';
import {createServer} from 'node:net';
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

const PROGRAM =
  process.env.PROGRAM ??
  fileURLToPath(new URL('../../target/hollowstack', import.meta.url));

// Finds loopback addresses that nobody listens at.
export async function findFreeAddresses(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const addresses = servers.map(each => `127.0.0.1:${each.address().port}`);
  await Promise.all(
    servers.map(each => new Promise(resolve => each.close(resolve))),
  );
  return addresses;
}

export class GatewayProcess {
  // addresses: of callers, probes, peers, tunnels and metrics. told: the address told to peers.
  constructor({id, zone, folder, storeAddress, addresses, seeds, told}) {
    Object.assign(this, {id, zone, addresses, told});
    const [frontend, readiness, peers, tunnels, metrics] = addresses;
    this.address = frontend;
    this.readiness = readiness;
    this.path = `${folder}/${id}.toml`;
    this.lines = [];
    // The fields of deploy/gateway.toml with the bounds of citasangre.
    writeFileSync(
      this.path,
      [
        '[instance]',
        `id = "${id}"`,
        `failureDomain = "${zone}"`,
        'cpuShare = 0.675',
        'cpuSpeed = 1',
        '[listen]',
        `address = "${frontend}"`,
        `probeAddress = "${readiness}"`,
        `peerAddress = "${peers}"`,
        ...(told ? [`advertisedPeerAddress = "${told}"`] : []),
        `tunnelAddress = "${tunnels}"`,
        `metricsAddress = "${metrics}"`,
        '[store]',
        `address = "${storeAddress}"`,
        'followWithinMs = 2000',
        'configureWithinMs = 2000',
        '[peers]',
        `seeds = ${JSON.stringify(seeds)}`,
        'keys = [{ id = "deploy", secret = "hollowstack-between-machines" }]',
        '[retries]',
        'ratio = 0.2',
        'windowSeconds = 10',
        'burst = 58',
        '[drain]',
        'limitSeconds = 8',
        '',
      ].join('\n'),
    );
  }

  start() {
    const child = spawn(PROGRAM, ['gateway', '--settings', this.path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.isRunning = true;
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        this.isRunning = false;
        resolve({code, signal});
      }),
    );
    let rest = '';
    const collect = bytes => {
      rest += bytes;
      const lines = rest.split('\n');
      rest = lines.pop();
      this.lines.push(...lines);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
  }

  send(signal) {
    if (this.isRunning) this.child.kill(signal);
  }

  countLines(text) {
    return this.lines.filter(line => line.includes(text)).length;
  }

  async waitUntilReady(limitMs = 15_000) {
    const before = this.countLines('entry.ready');
    await waitUntil(() => this.countLines('entry.ready') > before, limitMs);
  }

  async end() {
    if (!this.child || !this.isRunning) return;
    this.send('SIGCONT');
    this.send('SIGKILL');
    await this.exited;
  }
}

export function waitFor(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export async function waitUntil(isMet, limitMs = 10_000) {
  const endMs = performance.now() + limitMs;
  while (!(await isMet())) {
    if (performance.now() > endMs) throw new Error('waited in vain');
    await waitFor(5);
  }
}
