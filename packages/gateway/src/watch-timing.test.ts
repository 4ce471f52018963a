import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWatchPace} from './watch-pace.ts';

test('changes are gathered for a tenth of the time, for longer by many watchers, never beyond a third', () => {
  let watcherCount = 9;
  const pace = createWatchPace({
    followWithinMs: 3000,
    getWatcherCount: () => watcherCount,
  });
  assert.equal(pace.gatherMs, 300);
  watcherCount = 50;
  assert.equal(pace.gatherMs, 600);
  watcherCount = 300;
  assert.equal(pace.gatherMs, 1000);
});

test('gathering, a heartbeat and its margin fit in the time in which changes must be in force', () => {
  const pace = createWatchPace({
    followWithinMs: 2000,
    getWatcherCount: () => 9,
  });
  assert.equal(pace.waitMs + pace.marginMs, 1400);
  assert.equal(pace.gatherMs + pace.waitMs + pace.marginMs, 1600);
});
