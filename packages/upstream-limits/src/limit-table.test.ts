import {ManualClock} from '@hollowstack/clock';
import {EventLogger} from '@hollowstack/logger';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LimitTable} from './index.ts';

class SilentLogger extends EventLogger {
  logEvent(): void {}
}

const UPSTREAM = {id: 'u1', service: 'chat'};

function createTable() {
  const clock = new ManualClock(0);
  const table = new LimitTable({clock, logger: new SilentLogger()});
  const createAnswer = (sentAtMs = clock.getNow()) => ({
    upstream: UPSTREAM,
    requestId: 'r1',
    sentAtMs,
  });
  return {clock, table, createAnswer};
}

test('an answer to a request sent before the limit was observed does not end it', async () => {
  const {clock, table, createAnswer} = createTable();
  const earlierAnswer = createAnswer();
  await clock.advance(50);
  table.recordLimit(createAnswer(), 2);
  table.recordNoLimit(earlierAnswer);
  assert.equal(table.getLimit('u1'), 2);
  await clock.advance(10);
  table.recordNoLimit(createAnswer());
  assert.equal(table.getLimit('u1'), undefined);
});

test('a limit, its change and its end are reported to peers', async () => {
  const {clock, table, createAnswer} = createTable();
  const peer = new LimitTable({clock, logger: new SilentLogger()});
  const sendReports = () => peer.applyReports(table.listReports(), 'peer p');
  let changeCount = 0;
  peer.addChangeListener(() => changeCount++);
  table.recordLimit(createAnswer(), 2);
  sendReports();
  sendReports();
  assert.equal(peer.getLimit('u1'), 2);
  assert.equal(changeCount, 1);
  await clock.advance(1000);
  table.recordLimit(createAnswer(), 0.5);
  sendReports();
  assert.equal(peer.getLimit('u1'), 0.5);
  await clock.advance(1000);
  table.recordNoLimit(createAnswer());
  sendReports();
  assert.equal(peer.getLimit('u1'), undefined);
  assert.equal(changeCount, 3);
});

test('a stale peer report does not restore an ended limit', async () => {
  const {clock, table, createAnswer} = createTable();
  table.recordLimit(createAnswer(), 2);
  const staleReports = table.listReports();
  await clock.advance(100);
  table.recordNoLimit(createAnswer());
  await clock.advance(100);
  table.applyReports(staleReports, 'peer p');
  assert.equal(table.getLimit('u1'), undefined);
});

test('a restarted upstream keeps a limit only if it was observed after the restart', async () => {
  for (const isObservedAfterRestart of [true, false]) {
    const {clock, table, createAnswer} = createTable();
    if (!isObservedAfterRestart) table.recordLimit(createAnswer(), 2);
    await clock.advance(100);
    const startedAtMs = clock.getNow();
    if (isObservedAfterRestart) table.recordLimit(createAnswer(), 2);
    table.replaceIncarnation('u1', 'u1@2', startedAtMs);
    assert.equal(table.getLimit('u1'), undefined);
    assert.equal(
      table.getLimit('u1@2'),
      isObservedAfterRestart ? 2 : undefined,
    );
  }
});

test('limits of unregistered upstreams are dropped after the retention period', async () => {
  const {clock, table, createAnswer} = createTable();
  table.recordLimit(createAnswer(), 2);
  table.setUpstreams([]);
  assert.equal(table.getLimit('u1'), 2);
  await clock.advance(20_000);
  table.setUpstreams([UPSTREAM]);
  assert.equal(table.getLimit('u1'), 2);
  table.setUpstreams([]);
  assert.equal(table.getLimit('u1'), undefined);
});
