import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWatchTiming} from './watch-timing.ts';

test('changes are batched for a tenth of the time, longer with many watchers, and never beyond a third', () => {
  let watcherCount = 9;
  const timing = createWatchTiming({
    followWithinMs: 3000,
    getWatcherCount: () => watcherCount,
  });
  assert.equal(timing.batchDelayMs, 300);
  watcherCount = 50;
  assert.equal(timing.batchDelayMs, 600);
  watcherCount = 300;
  assert.equal(timing.batchDelayMs, 1000);
});

test('batching, a heartbeat and its margin fit in the time within which changes must be in force', () => {
  const timing = createWatchTiming({
    followWithinMs: 2000,
    getWatcherCount: () => 9,
  });
  assert.equal(timing.waitMs + timing.timeoutMarginMs, 1400);
  assert.equal(
    timing.batchDelayMs + timing.waitMs + timing.timeoutMarginMs,
    1600,
  );
});
