import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {beforeEach, test} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import {MetricsRegistry} from '@hollowstack/metrics';
import {
  Connector,
  ConnectTimeoutError,
  NoPathError,
  isConnectionRefused,
  type ConnectTarget,
  type Connection,
} from '@hollowstack/transport';
import {PathConnector} from './path-connector.ts';
import {PathProber} from './path-prober.ts';
import {PathTable} from './path-table.ts';
import {RecordingLogger} from './test-utils/recording-logger.ts';
import type {TunnelClient, TunnelOutcome} from './tunnel-client.ts';

type DirectOutcome = 'connected' | 'refused' | 'silent';

const TIMEOUT_MS = 400;

class FakeConnector extends Connector {
  readonly outcomes = new Map<string, DirectOutcome>();
  readonly connects: string[] = [];
  private readonly clock: ManualClock;

  constructor(clock: ManualClock) {
    super();
    this.clock = clock;
  }

  connect({address, timeoutMs}: ConnectTarget): Promise<Connection> {
    this.connects.push(address);
    const outcome = this.outcomes.get(address) ?? 'connected';
    if (outcome === 'connected') {
      return Promise.resolve({stream: new PassThrough(), via: undefined});
    }
    return new Promise((_, reject) => {
      if (outcome === 'refused') reject(createRefusal());
      else {
        this.clock.schedule(timeoutMs, () => reject(new ConnectTimeoutError()));
      }
    });
  }

  isPathLost(): boolean {
    return false;
  }

  hasOutage(): boolean {
    return false;
  }
}

function createRefusal(): Error {
  return Object.assign(new Error('refused'), {code: 'ECONNREFUSED'});
}

let clock: ManualClock;
let direct: FakeConnector;
let table: PathTable;
let connector: PathConnector;
let tunnelOutcome: 'connected' | 'refused' | 'unanswered' | 'none';
let tunnelCount: number;
let isExhausted: boolean;
let isPeerSlow: boolean;

const getNoRandomness = () => 0;

beforeEach(() => {
  clock = new ManualClock();
  direct = new FakeConnector(clock);
  tunnelOutcome = 'connected';
  tunnelCount = 0;
  isExhausted = false;
  isPeerSlow = false;
  const metrics = new MetricsRegistry();
  table = new PathTable({clock, logger: new RecordingLogger(), metrics});
  table.setUpstreams(['a', 'b', 'c', 'd'].map(address => ({address})));
  connector = new PathConnector({
    clock,
    direct,
    table,
    prober: new PathProber({clock, random: getNoRandomness, direct, table}),
    tunnels: {openTunnel} as unknown as TunnelClient,
    peers: {isExhausted: () => isExhausted},
  });
});

async function openTunnel(): Promise<TunnelOutcome> {
  tunnelCount += 1;
  if (isPeerSlow) await waitFor(clock, TIMEOUT_MS);
  if (tunnelOutcome !== 'connected') return {type: tunnelOutcome};
  const stream = new PassThrough();
  return {type: 'connected', connection: {stream, via: 'peer'}};
}

function connect(address: string): Promise<Connection> {
  const connecting = connector.connect({address, timeoutMs: TIMEOUT_MS});
  return clock.advanceUntil(connecting, TIMEOUT_MS);
}

function setAllDirect(outcome: DirectOutcome): void {
  for (const address of ['a', 'b', 'c', 'd']) {
    direct.outcomes.set(address, outcome);
  }
}

test('a direct path that works is used alone', async () => {
  assert.equal((await connect('a')).via, undefined);
  assert.equal(tunnelCount, 0);
});

test('a refused direct path is replaced by a peer at once', async () => {
  direct.outcomes.set('a', 'refused');
  const startedAtMs = clock.getNow();
  assert.equal((await connect('a')).via, 'peer');
  assert.equal(clock.getNow(), startedAtMs);
  assert.equal(connector.isPathLost('a'), true);
  assert.equal(connector.isPathLost('b'), false);
});

test('a silent direct path is replaced by a peer after 100 ms, and later at once', async () => {
  direct.outcomes.set('a', 'silent');
  const startedAtMs = clock.getNow();
  assert.equal((await connect('a')).via, 'peer');
  assert.equal(clock.getNow() - startedAtMs, 100);
  assert.equal((await connect('a')).via, 'peer');
  assert.equal(clock.getNow() - startedAtMs, 100);
});

test('a lost direct path is tried again after a second', async () => {
  direct.outcomes.set('a', 'refused');
  await connect('a');
  direct.outcomes.set('a', 'connected');
  await clock.advance(1000);
  assert.equal((await connect('a')).via, undefined);
  assert.equal(connector.isPathLost('a'), false);
});

test('an upstream that refuses a peer as well is at fault itself', async () => {
  direct.outcomes.set('a', 'refused');
  tunnelOutcome = 'refused';
  await assert.rejects(connect('a'), isConnectionRefused);
  assert.equal(connector.isPathLost('a'), false);
});

test('a failure that no peer explains is that of the upstream if others can be reached', async () => {
  direct.outcomes.set('a', 'refused');
  tunnelOutcome = 'none';
  await assert.rejects(connect('a'), isConnectionRefused);
  assert.equal(connector.isPathLost('a'), false);
});

test('a failure that no peer explains is that of the path if no other upstream can be reached', async () => {
  setAllDirect('refused');
  tunnelOutcome = 'none';
  await assert.rejects(connect('a'), NoPathError);
  assert.equal(connector.isPathLost('a'), true);
});

test('an isolated instance uses peers at once until a probe connects', async () => {
  setAllDirect('silent');
  for (const address of ['a', 'b', 'c']) await connect(address);
  assert.equal(table.isIsolated(), true);
  const startedAtMs = clock.getNow();
  assert.equal((await connect('d')).via, 'peer');
  assert.equal(clock.getNow(), startedAtMs);
  setAllDirect('connected');
  await clock.advance(500);
  assert.equal(table.isIsolated(), false);
  assert.equal((await connect('a')).via, undefined);
});

test('an isolated instance without a peer that has a path reports an outage', async () => {
  setAllDirect('refused');
  tunnelOutcome = 'none';
  for (const address of ['a', 'b', 'c']) {
    await assert.rejects(connect(address), NoPathError);
  }
  assert.equal(connector.findOutage(), undefined);
  isExhausted = true;
  assert.equal(connector.findOutage()?.retryAfterMs, 1000);
  setAllDirect('connected');
  await clock.advance(500);
  assert.equal(connector.findOutage(), undefined);
});

test('upstreams that refuse all connections isolate no instance that reaches others', async () => {
  for (const address of ['a', 'b', 'c'])
    direct.outcomes.set(address, 'refused');
  tunnelOutcome = 'refused';
  for (const address of ['a', 'b', 'c']) {
    await assert.rejects(connect(address), isConnectionRefused);
  }
  assert.equal(table.isIsolated(), false);
});

test('a lost connection is the fault of the path only if the upstream accepts a peer', async () => {
  direct.outcomes.set('a', 'refused');
  assert.equal(await connector.isPathAtFault('a'), true);
  tunnelOutcome = 'refused';
  assert.equal(await connector.isPathAtFault('a'), false);
  assert.equal(await connector.isPathAtFault('b'), false);
});

test('a call that is cancelled does not wait for a slow peer', async () => {
  direct.outcomes.set('a', 'refused');
  isPeerSlow = true;
  const controller = new AbortController();
  const {signal} = controller;
  const connecting = connector.connect({
    address: 'a',
    timeoutMs: TIMEOUT_MS,
    signal,
  });
  connecting.catch(() => {});
  await clock.advance(50);
  const startedAtMs = clock.getNow();
  controller.abort(new Error('given up'));
  await assert.rejects(connecting, /given up/);
  assert.equal(clock.getNow(), startedAtMs);
});

test('a path that no peer replaces is tried again within the time that is left', async () => {
  direct.outcomes.set('a', 'silent');
  await connect('a');
  isPeerSlow = true;
  tunnelOutcome = 'none';
  const startedAtMs = clock.getNow();
  const connecting = connector.connect({address: 'a', timeoutMs: TIMEOUT_MS});
  await assert.rejects(clock.advanceUntil(connecting, 2 * TIMEOUT_MS));
  assert.equal(clock.getNow() - startedAtMs, TIMEOUT_MS + 50);
});

test('a connection that was given up before it begins is not established', async () => {
  const connecting = connector.connect({
    address: 'a',
    timeoutMs: TIMEOUT_MS,
    signal: AbortSignal.abort(new Error('given up')),
  });
  await assert.rejects(connecting, /given up/);
  assert.deepEqual(direct.connects, []);
  assert.equal(tunnelCount, 0);
});
