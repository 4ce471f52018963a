import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WindowRetryBudget} from './window-retry-budget.ts';

const BOUND = {ratio: 0.2, windowMs: 10_000, burst: 50};

function countRetries(budget: WindowRetryBudget, service: string): number {
  let count = 0;
  while (budget.acquireRetry(service)) count += 1;
  return count;
}

test('all instances together stay within the bound, even if all restart once', () => {
  const instances = 10;
  const createOne = () =>
    new WindowRetryBudget(
      BOUND,
      () => 0,
      () => instances,
    );
  let retries = 0;
  for (let start = 0; start < 2; start++) {
    for (let instance = 0; instance < instances; instance++) {
      retries += countRetries(createOne(), 's');
    }
  }
  assert.ok(retries <= BOUND.burst, `${retries} retries without a request`);
});

test('requests allow retries until they leave the window', () => {
  let nowMs = 0;
  const budget = new WindowRetryBudget(
    BOUND,
    () => nowMs,
    () => 1,
  );
  const burst = countRetries(budget, 's');
  for (let sent = 0; sent < 100; sent++) budget.recordRequest('s');
  const fromRequests = countRetries(budget, 's');
  assert.ok(fromRequests > 0 && fromRequests <= 20, `${fromRequests}`);
  nowMs = 11_000;
  assert.equal(countRetries(budget, 's'), burst);
});

test('the retries of one service do not reduce those of another', () => {
  const budget = new WindowRetryBudget(
    BOUND,
    () => 0,
    () => 1,
  );
  const first = countRetries(budget, 's');
  assert.equal(countRetries(budget, 't'), first);
});
