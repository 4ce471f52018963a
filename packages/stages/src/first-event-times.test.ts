import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {FirstEventTimes} from './index.ts';

test('a route of which nothing was seen takes what the caller says', () => {
  assert.equal(
    new FirstEventTimes(new ManualClock()).predictMs('r', 5000, 120),
    120,
  );
});

test('a few requests give a mean, whatever their sizes', () => {
  const times = new FirstEventTimes(new ManualClock());
  times.recordFirstEvent('r', 100, 80);
  times.recordFirstEvent('r', 9000, 120);
  const small = times.predictMs('r', 100, 0);
  assert.equal(times.predictMs('r', 50_000, 0), small);
});

test('prompts of 100 to 50,000 tokens are told apart once some were seen', () => {
  const times = new FirstEventTimes(new ManualClock());
  // 40 ms and 10 ms a thousand tokens, some of them held up by others.
  for (let index = 0; index < 200; index++) {
    const tokens = index % 10 === 0 ? 50_000 : 100 + (index % 7) * 900;
    const heldUpMs = index % 5 === 0 ? 30 : 0;
    times.recordFirstEvent('r', tokens, 40 + tokens / 100 + heldUpMs);
  }
  assert.ok(Math.abs(times.predictMs('r', 50_000, 0) - 545) < 40);
  assert.ok(times.predictMs('r', 100, 0) < 80);
  assert.equal(times.predictMs('other', 50_000, 120), 120);
});

test('no size is predicted to take less than nothing, nor larger ones less than small ones', () => {
  const times = new FirstEventTimes(new ManualClock());
  for (let index = 0; index < 100; index++) {
    times.recordFirstEvent('r', (index % 10) * 100, 500 - (index % 10) * 50);
  }
  assert.equal(times.predictMs('r', 0, 0), times.predictMs('r', 90_000, 0));
  assert.ok(times.predictMs('r', 0, 0) > 0);
});

test('what was seen long ago gives way to what the caller says', async () => {
  const clock = new ManualClock();
  const times = new FirstEventTimes(clock);
  times.recordFirstEvent('r', 100, 2000);
  await clock.advance(4000);
  assert.equal(times.predictMs('r', 100, 100), 1050);
});
