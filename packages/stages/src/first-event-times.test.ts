import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {FirstEventTimes} from './index.ts';

test('a route without observations is predicted to take the default', () => {
  assert.equal(
    new FirstEventTimes(new ManualClock()).predictMs('r', 5000, 120),
    120,
  );
});

test('few observations give the mean, regardless of prompt size', () => {
  const times = new FirstEventTimes(new ManualClock());
  times.recordFirstEvent('r', 100, 80);
  times.recordFirstEvent('r', 9000, 120);
  const small = times.predictMs('r', 100, 0);
  assert.equal(times.predictMs('r', 50_000, 0), small);
});

test('predictions depend on the prompt size, from 100 to 50,000 tokens, after enough observations', () => {
  const times = new FirstEventTimes(new ManualClock());
  // 40 ms plus 10 ms per thousand tokens; some requests are delayed by others.
  for (let index = 0; index < 200; index++) {
    const tokens = index % 10 === 0 ? 50_000 : 100 + (index % 7) * 900;
    const heldUpMs = index % 5 === 0 ? 30 : 0;
    times.recordFirstEvent('r', tokens, 40 + tokens / 100 + heldUpMs);
  }
  assert.ok(Math.abs(times.predictMs('r', 50_000, 0) - 545) < 40);
  assert.ok(times.predictMs('r', 100, 0) < 80);
  assert.equal(times.predictMs('other', 50_000, 120), 120);
});

test('predictions are never negative and never decrease with the prompt size', () => {
  const times = new FirstEventTimes(new ManualClock());
  for (let index = 0; index < 100; index++) {
    times.recordFirstEvent('r', (index % 10) * 100, 500 - (index % 10) * 50);
  }
  assert.equal(times.predictMs('r', 0, 0), times.predictMs('r', 90_000, 0));
  assert.ok(times.predictMs('r', 0, 0) > 0);
});

test('old observations decay towards the default', async () => {
  const clock = new ManualClock();
  const times = new FirstEventTimes(clock);
  times.recordFirstEvent('r', 100, 2000);
  await clock.advance(4000);
  assert.equal(times.predictMs('r', 100, 100), 1050);
});
