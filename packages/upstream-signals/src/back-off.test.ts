import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  isOver,
  maySend,
  recordBackOff,
  recordSend,
  type BackOff,
} from './back-off.ts';

/** Sends as many requests as are allowed at a time; returns their number and the new state. */
function countSends(backOff: BackOff, nowMs: number): [number, BackOff] {
  let state = backOff;
  let count = 0;
  while (maySend(state, nowMs) && !isOver(state, nowMs)) {
    state = recordSend(state, nowMs);
    count += 1;
  }
  return [count, state];
}

test('nothing may be sent until the back-off ends', () => {
  const backOff = recordBackOff(undefined, 3000, 1000);
  assert.equal(maySend(backOff, 1000), false);
  assert.equal(maySend(backOff, 3999), false);
  assert.equal(maySend(backOff, 4000), true);
});

test('a later, shorter back-off does not end a longer one, and a longer one extends it', () => {
  const first = recordBackOff(undefined, 3000, 0);
  assert.equal(recordBackOff(first, 500, 1000).untilMs, 3000);
  assert.equal(recordBackOff(first, 3000, 1000).untilMs, 4000);
});

test('after the back-off each step allows twice as many sends, and then any number', () => {
  let state = recordBackOff(undefined, 1000, 0);
  const counts: number[] = [];
  for (const nowMs of [1000, 1100, 1200, 1300, 1400]) {
    const [count, next] = countSends(state, nowMs);
    counts.push(count);
    state = next;
  }
  assert.deepEqual(counts, [2, 4, 8, 16, 32]);
  assert.equal(isOver(state, 1499), false);
  assert.equal(isOver(state, 1500), true);
});

test('the slow start proceeds by time, also if nothing was sent in a step', () => {
  const backOff = recordBackOff(undefined, 1000, 0);
  assert.deepEqual(countSends(backOff, 1350)[0], 16);
});

test('a back-off requested during the slow start stops sends again', () => {
  const [, slow] = countSends(recordBackOff(undefined, 1000, 0), 1000);
  const again = recordBackOff(slow, 1000, 1050);
  assert.equal(maySend(again, 1200), false);
  assert.equal(countSends(again, 2050)[0], 2);
});
