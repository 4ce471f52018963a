import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {MetricsRegistry} from '@hollowstack/metrics';
import {PathTable} from './path-table.ts';
import {RecordingLogger} from './test-utils/recording-logger.ts';

let clock: ManualClock;
let logger: RecordingLogger;
let table: PathTable;

beforeEach(() => {
  clock = new ManualClock();
  logger = new RecordingLogger();
  table = new PathTable({clock, logger, metrics: new MetricsRegistry()});
  table.setUpstreams(['a', 'b', 'c', 'd'].map(address => ({address})));
});

test('an instance counts as isolated once three paths are lost with no connection in between', async t => {
  table.recordConnected('d');
  await clock.advance(100);
  for (const address of ['a', 'b']) table.recordLost(address);
  assert.equal(table.isIsolated(), false);
  table.recordLost('c');
  assert.equal(table.isIsolated(), true);
  await clock.advance(500);
  table.recordConnected('b');
  assert.equal(table.isIsolated(), false);
  t.assert.snapshot(logger.events);
});

test('upstreams that fail while others can be reached do not make an instance isolated', async () => {
  for (const address of ['a', 'b', 'c']) {
    await clock.advance(100);
    table.recordLost(address);
    await clock.advance(100);
    table.recordConnected('d');
  }
  assert.equal(table.isIsolated(), false);
});

test('an instance with a single upstream is isolated once the path to it is lost', () => {
  table.setUpstreams([{address: 'a'}]);
  table.recordLost('a');
  assert.equal(table.isIsolated(), true);
});
