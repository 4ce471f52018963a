// Guards against orphaned results. When all instances of a fleet were lost and restarted two
// seconds later, no instance knew the handles of the lost requests' results any more, and the
// stage upstreams stored them for another 2.5 s: 800 items found no memory, batches shrank
// from 30 to between 5 and 15 items, and half of the admitted requests were late.
import {ManualClock} from '@hollowstack/clock';
import {
  EventLogger,
  type EventFields,
  type EventName,
} from '@hollowstack/logger';
import {
  StoreError,
  type KeyRange,
  type RangeResult,
  type Transaction,
  type TransactionResult,
} from '@hollowstack/store';
import type {OwnedResult} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  MAX_CHECKPOINT_HANDLES,
  decodeCheckpoint,
  encodeCheckpoint,
} from './checkpoint.ts';
import {CheckpointWriter, OrphanReleaser} from './index.ts';
import {assembleOrphanPlan} from './orphan-plan.ts';

class RecordingLogger extends EventLogger {
  readonly lines: Array<[EventName, EventFields]> = [];

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.lines.push([name, fields]);
  }
}

/** An in-memory store that can be unavailable. */
class KeyStore {
  readonly values = new Map<string, string>();
  isUnavailable = false;
  writeCount = 0;

  getHistoryId(): string {
    return '';
  }

  async readRange({start}: KeyRange): Promise<RangeResult> {
    this.checkAvailability();
    const keyValues = [...this.values]
      .filter(([key]) => key.startsWith(start))
      .map(([key, value]) => ({key, value, modRevision: 1, createRevision: 1}));
    return {storeId: 's', storeRevision: 1, keyValues};
  }

  async runTransaction({onSuccess}: Transaction): Promise<TransactionResult> {
    this.checkAvailability();
    this.writeCount += 1;
    for (const step of onSuccess) {
      if (step.type === 'put') this.values.set(step.key, step.value);
      if (step.type === 'delete') this.values.delete(step.range.start);
    }
    return {succeeded: true, storeId: 's', storeRevision: 1, reads: []};
  }

  private checkAvailability(): void {
    if (this.isUnavailable) throw new StoreError('unavailable', 'none');
  }
}

// As a random number, 0.5 means a pause without jitter.
function getHalf(): number {
  return 0.5;
}

function createResult(
  handle: string,
  instance: string,
  startedAtMs: number,
): OwnedResult {
  const owner = {instance, startedAtMs};
  return {handle, address: '10.0.0.1:80', failureDomain: 'a', owner};
}

/** Creates one incarnation of a coordinator, with the results that it tracks and has released. */
function createCoordinator(
  store: KeyStore,
  clock: ManualClock,
  startedAtMs: number,
) {
  const logger = new RecordingLogger();
  const stored: OwnedResult[] = [];
  const released: string[] = [];
  const starts = new Map<string, number>();
  const parts = {
    clock,
    logger,
    store,
    random: getHalf,
    self: {instance: 'c', startedAtMs},
  };
  const writer = new CheckpointWriter({
    ...parts,
    listStoredResults: () => stored,
  });
  const releaser = new OrphanReleaser({
    ...parts,
    isCoordinator: () => true,
    listStarts: () => starts,
    releaseResults: results =>
      released.push(...results.map(({handle}) => handle)),
  });
  const start = () => {
    void writer.start();
    void releaser.start();
  };
  const stop = () => {
    writer.stop();
    releaser.stop();
  };
  return {logger, stored, released, starts, start, stop};
}

/** Runs a coordinator that tracks results of two instances until its process is lost. */
async function runUntilLost(store: KeyStore, clock: ManualClock) {
  const lost = createCoordinator(store, clock, 1000);
  lost.stored.push(
    createResult('h1', 'x', 1000),
    createResult('h2', 'y', 1000),
  );
  lost.start();
  await clock.advance(1000);
  lost.stop();
  return lost;
}

test('only the results of instances that have restarted are orphans', () => {
  const results = [
    createResult('again', 'x', 1000),
    createResult('lives', 'y', 1000),
    createResult('unknown', 'z', 1000),
    createResult('list-behind', 'w', 5000),
  ];
  const starts = new Map([
    ['x', 2000],
    ['y', 1000],
    ['w', 1000],
  ]);
  const {orphans, others} = assembleOrphanPlan(results, starts);
  assert.deepEqual(
    orphans.map(({handle}) => handle),
    ['again'],
  );
  assert.deepEqual(
    others.map(({handle}) => handle),
    ['lives', 'unknown', 'list-behind'],
  );
});

test('a checkpoint decodes to the encoded results, and its size is limited', () => {
  const results = [createResult('h1', 'x', 1), createResult('h2', 'y', 2)];
  assert.deepEqual(decodeCheckpoint(encodeCheckpoint(results)), results);
  const many = Array.from({length: MAX_CHECKPOINT_HANDLES + 5}, (_, index) =>
    createResult(`10.64.128.200:8080/${index}`.padEnd(40, '0'), 'x', 1),
  );
  const text = encodeCheckpoint(many);
  assert.equal(decodeCheckpoint(text).length, MAX_CHECKPOINT_HANDLES);
  assert.ok(text.length < 400_000, `${text.length} bytes`);
});

test('after the loss of all instances, results are released as their owners restart', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  await runUntilLost(store, clock);
  const next = createCoordinator(store, clock, 3000);
  next.starts.set('x', 3000);
  next.start();
  await clock.advance(300);
  assert.deepEqual(next.released, ['h1']);
  next.starts.set('y', 3300);
  await clock.advance(300);
  assert.deepEqual(next.released, ['h1', 'h2']);
  assert.deepEqual([...store.values.keys()], []);
  next.stop();
});

test('a new coordinator does not release the results of instances that still run', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  await runUntilLost(store, clock);
  const next = createCoordinator(store, clock, 3000);
  next.starts.set('x', 1000).set('y', 1000);
  next.start();
  await clock.advance(20_000);
  assert.deepEqual(next.released, []);
  next.stop();
});

test('a store that is unavailable when the next coordinator starts is read again', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  await runUntilLost(store, clock);
  store.isUnavailable = true;
  const next = createCoordinator(store, clock, 3000);
  next.starts.set('x', 3000).set('y', 3000);
  next.start();
  await clock.advance(1000);
  assert.deepEqual(next.released, []);
  store.isUnavailable = false;
  await clock.advance(300);
  assert.deepEqual(next.released, ['h1', 'h2']);
  next.stop();
});

test('an unreadable checkpoint is logged and does not affect the others', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  await runUntilLost(store, clock);
  store.values.set('hollowstack/results/d/1', 'no checkpoint');
  store.values.set('hollowstack/results/e/1', '{"groups":[{"owner":7}]}');
  const next = createCoordinator(store, clock, 3000);
  next.starts.set('x', 3000).set('y', 3000);
  next.start();
  await clock.advance(300);
  assert.deepEqual(next.released, ['h1', 'h2']);
  const names = next.logger.lines.map(([name]) => name);
  assert.deepEqual(names, [
    'results.checkpoint-unread',
    'results.checkpoint-unread',
    'results.orphaned',
  ]);
  next.stop();
});

test('checkpoints beyond the limit of a transaction are deleted by the next coordinator', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  for (let incarnation = 1; incarnation <= 40; incarnation++) {
    store.values.set(`hollowstack/results/d/${incarnation}`, '{"groups":[]}');
  }
  const counts: number[] = [];
  for (const startedAtMs of [1000, 2000]) {
    const next = createCoordinator(store, clock, startedAtMs);
    next.start();
    await clock.advance(300);
    next.stop();
    counts.push(store.values.size);
  }
  assert.deepEqual(counts, [10, 0]);
});

test('nothing is written without a change, and an unavailable store is logged once', async () => {
  const [store, clock] = [new KeyStore(), new ManualClock(0)];
  const writer = createCoordinator(store, clock, 1000);
  writer.start();
  await clock.advance(5000);
  assert.equal(store.writeCount, 0);
  store.isUnavailable = true;
  writer.stored.push(createResult('h1', 'x', 1000));
  await clock.advance(5000);
  store.isUnavailable = false;
  await clock.advance(5000);
  assert.equal(store.writeCount, 1);
  const failures = writer.logger.lines.filter(
    ([name]) => name === 'results.checkpoint-failed',
  );
  assert.equal(failures.length, 1);
  writer.stop();
});
