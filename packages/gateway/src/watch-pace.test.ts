import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWatchPace} from './watch-pace.ts';

test('a larger fleet gathers for longer, never beyond a third of the time it has', () => {
  let instanceCount = 9;
  const pace = createWatchPace({
    followWithinMs: 3000,
    getInstanceCount: () => instanceCount,
  });
  assert.equal(pace.gatherMs, 108);
  instanceCount = 50;
  assert.equal(pace.gatherMs, 600);
  instanceCount = 300;
  assert.equal(pace.gatherMs, 1000);
});
