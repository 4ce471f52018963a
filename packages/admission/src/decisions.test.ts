import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import fc from 'fast-check';
import {
  AdaptiveLimit,
  DEFAULT_QUEUE_POLICY,
  DurationEstimator,
  RetryBudget,
  chooseNextWaiting,
  computeShares,
  judgeDeadline,
  judgeRetry,
  type InServiceCount,
  type WaitingWork,
} from './index.ts';

function createInServiceCount(counts: Record<string, number>): InServiceCount {
  const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
  return {total, getCount: workspace => counts[workspace] ?? 0};
}

function chooseNext(
  waiting: WaitingWork[],
  counts: Record<string, number>,
  limit: number,
): number {
  return chooseNextWaiting(
    waiting,
    createInServiceCount(counts),
    {limit, initial: limit},
    DEFAULT_QUEUE_POLICY,
  );
}

test('work is ordered by priority, then by the least in-service work of its workspace, then by deadline', () => {
  const late = {workspace: 'a', priority: 5, deadlineMs: 900};
  const early = {workspace: 'a', priority: 5, deadlineMs: 500};
  const other = {workspace: 'b', priority: 5, deadlineMs: 999};
  const urgent = {workspace: 'a', priority: 1, deadlineMs: 999};
  assert.equal(chooseNext([late, early], {}, 10), 1);
  assert.equal(chooseNext([early, other], {a: 3, b: 1}, 10), 1);
  assert.equal(chooseNext([early, other, urgent], {a: 3}, 10), 2);
});

test('urgent work may exceed the limit that blocks other work', () => {
  const slow = {workspace: 'a', priority: 6, deadlineMs: 500};
  const urgent = {workspace: 'a', priority: 1, deadlineMs: 900};
  assert.equal(chooseNext([slow], {a: 9}, 10), -1);
  assert.equal(chooseNext([slow, urgent], {a: 9}, 10), 1);
  assert.equal(chooseNext([slow, urgent], {a: 25}, 10), 1);
  assert.equal(chooseNext([slow, urgent], {a: 30}, 10), -1);
});

test('the adaptive limit grows while work waits and shrinks while upstreams report queues', t => {
  const limit = new AdaptiveLimit({initial: 20, min: 4, max: 60});
  const values: number[] = [];
  const samples = [0, 0, 0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0, 0];
  for (const reportedQueue of samples) {
    limit.applySample({
      hadWaitingWork: true,
      queuedPerSlot: reportedQueue,
      wasRefused: false,
    });
    values.push(limit.getLimit());
  }
  t.assert.snapshot(values);
});

test('shares add up to the limit, cover small demands in full and split the rest evenly', () => {
  const demands = fc.array(fc.double({min: 0, max: 1000, noNaN: true}), {
    minLength: 1,
    maxLength: 40,
  });
  fc.assert(
    fc.property(demands, fc.integer({min: 1, max: 1000}), (amounts, limit) => {
      const shares = computeShares(
        limit,
        amounts.map((amount, index) => ({instance: `i-${index}`, amount})),
      );
      const sum = shares.reduce((total, {amount}) => total + amount, 0);
      assert.ok(Math.abs(sum - limit) < 1e-6 * limit);
      const evenPart = limit / amounts.length;
      for (const {instance, amount} of shares) {
        const wanted = amounts[Number(instance.slice(2))];
        assert.ok(amount >= Math.min(wanted, evenPart) - 1e-6);
      }
    }),
    {seed: 3, numRuns: 500},
  );
});

test('a deadline is unreachable if the required share of the predicted time does not fit', t => {
  const input = {nowMs: 0, deadlineMs: 100, waitMs: 40, remainingMs: 80};
  t.assert.snapshot([
    judgeDeadline({...input, requiredShare: 0.7}),
    judgeDeadline({...input, requiredShare: 0.95}),
    judgeDeadline({...input, nowMs: 100, requiredShare: 0}),
  ]);
});

test('only repeatable requests and attempts that did not run are retried', () => {
  const input = {
    attempts: 1,
    maxAttempts: 2,
    mayHaveRun: true,
    isRepeatable: true,
    leftMs: 100,
    predictedMs: 50,
  };
  assert.equal(judgeRetry(input), 'retry');
  assert.equal(judgeRetry({...input, isRepeatable: false}), 'not-repeatable');
  const notRun = {...input, isRepeatable: false, mayHaveRun: false};
  assert.equal(judgeRetry({...notRun, attempts: 5}), 'retry');
  assert.equal(judgeRetry({...notRun, attempts: 6}), 'attempts-used-up');
  assert.equal(judgeRetry({...input, attempts: 2}), 'attempts-used-up');
  assert.equal(judgeRetry({...input, leftMs: 40}), 'no-time-left');
});

test('the retry budget limits retries to a share of the requests', () => {
  const budget = new RetryBudget(0.2, 2);
  let retries = 0;
  for (let request = 0; request < 100; request++) {
    budget.recordRequest();
    if (budget.acquireRetry()) retries += 1;
  }
  assert.ok(retries <= 22 && retries >= 20, String(retries));
});

test('an estimate without new samples decays to its default', async () => {
  const clock = new ManualClock();
  const durations = new DurationEstimator(clock);
  durations.recordMs('chat', 9000);
  assert.equal(durations.getMeanMs('chat', 1000), 9000);
  await clock.advance(4000);
  assert.equal(durations.getMeanMs('chat', 1000), 5000);
  await clock.advance(60_000);
  assert.ok(durations.getMeanMs('chat', 1000) < 1010);
});
