import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {ConnectionState} from '@hollowstack/transport';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashDetector} from './index.ts';

const UPSTREAM = {id: 'u1', address: '10.0.0.1:1', service: 'chat'};
const OTHER = {...UPSTREAM, id: 'u2'};

function createDetector() {
  const clock = new ManualClock(0);
  const crashed: string[] = [];
  const probes: string[] = [];
  const connection: {state: ConnectionState} = {state: 'accepted'};
  const detector = new CrashDetector({
    clock,
    logger: new SilentEventLogger(),
    metrics: new MetricsRegistry(),
    table: {
      recordCrash: ({fingerprint}, {upstream}) =>
        void crashed.push(`${fingerprint} ${upstream}`),
    },
    checkAddress: async address => {
      probes.push(address);
      return connection.state;
    },
  });
  const recordBroken = (fingerprint: string, upstream = UPSTREAM) =>
    detector.recordBroken({
      request: {fingerprint, service: 'chat', workspace: 'w1'},
      upstream,
      sentAtMs: clock.getNow(),
      endedAtMs: clock.getNow(),
    });
  return {clock, detector, crashed, probes, connection, recordBroken};
}

test('a connection that broke counts once the upstream refuses the next one', async () => {
  const {clock, crashed, connection, recordBroken} = createDetector();
  connection.state = 'refused';
  recordBroken('f1');
  recordBroken('f2');
  assert.deepEqual(crashed, []);
  await clock.advance(20);
  assert.deepEqual(crashed, ['f1 u1', 'f2 u1']);
});

test('a process that closes its port a little later than its connections is found', async () => {
  const {clock, crashed, connection, recordBroken} = createDetector();
  recordBroken('f1');
  await clock.advance(100);
  connection.state = 'refused';
  await clock.advance(100);
  assert.deepEqual(crashed, ['f1 u1']);
});

test('a connection that an upstream reset while it lives counts for nothing', async () => {
  const {clock, detector, crashed, probes, recordBroken} = createDetector();
  for (let index = 0; index < 50; index++) {
    recordBroken(`f${index}`);
    detector.setUpstreams([UPSTREAM, OTHER]);
    await clock.advance(20);
  }
  await clock.advance(12_000);
  assert.deepEqual(crashed, []);
  assert.equal(probes.length, 2);
  assert.equal(detector.hasPending(), false);
});

test('a silent upstream counts once its registration shows that it has ended', async () => {
  const {clock, detector, crashed, connection, recordBroken} = createDetector();
  connection.state = 'unanswered';
  recordBroken('f1');
  recordBroken('f2', OTHER);
  await clock.advance(4000);
  detector.setUpstreams([OTHER]);
  assert.deepEqual(crashed, ['f1 u1']);
});

test('a request that was answered meanwhile has crashed nothing', async () => {
  const {clock, detector, crashed, connection, recordBroken} = createDetector();
  connection.state = 'refused';
  recordBroken('f1');
  detector.recordServed('f1');
  await clock.advance(1000);
  assert.deepEqual(crashed, []);
});

test('a connection that another request finds refused is evidence as well', () => {
  const {detector, crashed, recordBroken} = createDetector();
  recordBroken('f1');
  detector.recordRefusedConnection('u2');
  assert.deepEqual(crashed, []);
  detector.recordRefusedConnection('u1');
  assert.deepEqual(crashed, ['f1 u1']);
});
