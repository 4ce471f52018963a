import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import {EventLogger, type EventName} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {FreshnessGuard} from './freshness-guard.ts';
import {FreshnessTable, VIEW_PARTS} from './freshness-table.ts';
import {ViewRefresher, type PeerReach} from './view-refresher.ts';

const LIMIT_MS = 2000;
const ANSWER_MS = 20;

class ListingLogger extends EventLogger {
  readonly names: EventName[] = [];

  logEvent(name: EventName): void {
    this.names.push(name);
  }
}

class TestRefresher extends ViewRefresher {
  count = 0;
  reach: PeerReach = 'none';
  isConfirming = false;
  private readonly clock: ManualClock;
  private readonly table: FreshnessTable;

  constructor(clock: ManualClock, table: FreshnessTable) {
    super();
    this.clock = clock;
    this.table = table;
  }

  async refresh(): Promise<PeerReach> {
    this.count += 1;
    const sentAtMs = this.clock.getNow();
    await waitFor(this.clock, ANSWER_MS);
    if (this.isConfirming) recordAll(this.table, sentAtMs);
    return this.reach;
  }
}

function recordAll(table: FreshnessTable, knownUntilMs: number): void {
  for (const part of VIEW_PARTS) table.recordKnown(part, knownUntilMs, 'test');
}

function createGuard() {
  const clock = new ManualClock();
  const logger = new ListingLogger();
  const table = new FreshnessTable({clock, maxAgeMs: LIMIT_MS});
  const refresher = new TestRefresher(clock, table);
  const guard = new FreshnessGuard({
    clock,
    logger,
    metrics: new MetricsRegistry(),
    table,
    refreshers: [refresher],
  });
  recordAll(table, clock.getNow());
  return {clock, logger, table, refresher, guard};
}

/** Returns the duration of a refresh in milliseconds; undefined if none is due. */
async function measureRefresh(
  {guard, clock}: ReturnType<typeof createGuard>,
  limitMs = 1000,
): Promise<number | undefined> {
  if (!guard.isRefreshDue()) return undefined;
  const startedAtMs = clock.getNow();
  await clock.advanceUntil(guard.refresh(), limitMs);
  return clock.getNow() - startedAtMs;
}

test('a fresh view is not refreshed', async () => {
  const setup = createGuard();
  const {clock, guard, refresher} = setup;
  await clock.advance(LIMIT_MS);
  assert.equal(await measureRefresh(setup), undefined);
  assert.equal(await guard.mayRefuseUnknown(), true);
  assert.equal(refresher.count, 0);
});

test('concurrent decisions share one refresh of a stale view and use the fresh view', async () => {
  const setup = createGuard();
  const {clock, guard, refresher, logger} = setup;
  refresher.isConfirming = true;
  await clock.advance(LIMIT_MS + 1);
  const refusals = [guard.mayRefuseUnknown(), guard.mayRefuseUnknown()];
  assert.equal(await measureRefresh(setup), ANSWER_MS);
  assert.deepEqual(await Promise.all(refusals), [true, true]);
  assert.equal(refresher.count, 1);
  assert.equal(guard.isStale(), false);
  assert.deepEqual(logger.names, ['view.stale', 'view.fresh']);
});

test('after a failed refresh decisions do not wait while it is retried', async () => {
  const setup = createGuard();
  const {clock, guard, refresher, logger} = setup;
  await clock.advance(LIMIT_MS + 1);
  assert.equal(await measureRefresh(setup), 200);
  for (let step = 0; step < 40; step++) {
    assert.equal(await measureRefresh(setup), undefined);
    await clock.advance(100);
  }
  assert.ok(
    refresher.count >= 6 && refresher.count <= 9,
    `${refresher.count} refreshes`,
  );
  refresher.isConfirming = true;
  await clock.advance(600);
  guard.isRefreshDue();
  await clock.advance(100);
  assert.equal(guard.isStale(), false);
  assert.deepEqual(logger.names, [
    'view.stale',
    'view.unconfirmed',
    'view.fresh',
  ]);
});

test('occasional decisions do not wait either, and nothing is refreshed after a stop', async () => {
  const setup = createGuard();
  const {clock, guard, refresher} = setup;
  await clock.advance(LIMIT_MS + 1);
  assert.equal(await measureRefresh(setup), 200);
  await clock.advance(5000);
  assert.equal(await measureRefresh(setup), undefined);
  guard.stop();
  const {count} = refresher;
  await clock.advance(5000);
  assert.equal(refresher.count, count);
});

test('a decision waits again after a pause of the process without refreshes', async () => {
  const setup = createGuard();
  const {clock, refresher} = setup;
  await clock.advance(LIMIT_MS + 1);
  assert.equal(await measureRefresh(setup), 200);
  clock.pause(5000);
  refresher.isConfirming = true;
  assert.equal(await measureRefresh(setup), ANSWER_MS);
});

test('with a stale view, something unknown is refused for good only if a peer in another failure domain answered', async () => {
  const expected: ReadonlyArray<[PeerReach, boolean]> = [
    ['none', false],
    ['near', false],
    ['far', true],
  ];
  for (const [reach, mayRefuse] of expected) {
    const {clock, guard, refresher} = createGuard();
    refresher.reach = reach;
    await clock.advance(LIMIT_MS + 1);
    const asked = guard.mayRefuseUnknown();
    assert.equal(await clock.advanceUntil(asked, 1000), mayRefuse, reach);
  }
});
