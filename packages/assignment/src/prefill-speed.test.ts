import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillSpeed} from './prefill-speed.ts';

test('the prefill speed is estimated per service, from long prompts only', () => {
  const speed = new PrefillSpeed();
  const before = speed.getTokensPerMs('a');
  for (let request = 0; request < 200; request++) {
    speed.recordPrefill('a', 4000, 100);
    speed.recordPrefill('a', 10, 90);
  }
  assert.ok(Math.abs(speed.getTokensPerMs('a') - 40) < 0.1);
  assert.equal(speed.getTokensPerMs('b'), before);
});

test('a single outlier changes the speed only a little', () => {
  const speed = new PrefillSpeed();
  const before = speed.getTokensPerMs('a');
  speed.recordPrefill('a', 4000, 60_000);
  assert.ok(speed.getTokensPerMs('a') > 0.9 * before);
});
