import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWatchTiming} from './watch-timing.ts';

test('changes are gathered for a tenth of the time, for longer by many watchers, never beyond a third', () => {
  let watcherCount = 9;
  const pace = createWatchTiming({
    followWithinMs: 3000,
    getWatcherCount: () => watcherCount,
  });
  assert.equal(pace.batchDelayMs, 300);
  watcherCount = 50;
  assert.equal(pace.batchDelayMs, 600);
  watcherCount = 300;
  assert.equal(pace.batchDelayMs, 1000);
});

test('gathering, a heartbeat and its margin fit in the time in which changes must be in force', () => {
  const pace = createWatchTiming({
    followWithinMs: 2000,
    getWatcherCount: () => 9,
  });
  assert.equal(pace.waitMs + pace.timeoutMarginMs, 1400);
  assert.equal(pace.batchDelayMs + pace.waitMs + pace.timeoutMarginMs, 1600);
});
