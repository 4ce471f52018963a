// Guards against answers that count as missing because this process stalled.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, SystemClock, scheduleTimeout} from './index.ts';

const TIMEOUT_MS = 400;
const STALL_MS = 600;

function startTimeout(clock: ManualClock) {
  const state = {isOver: false};
  const timer = scheduleTimeout(clock, TIMEOUT_MS, () => (state.isOver = true));
  return {state, timer};
}

test('a timeout ends on time in a process that does not stall', async () => {
  const clock = new ManualClock();
  const {state} = startTimeout(clock);
  await clock.advance(TIMEOUT_MS - 1);
  assert.equal(state.isOver, false);
  await clock.advance(1);
  assert.equal(state.isOver, true);
});

test('a cancelled timeout does not end', async () => {
  const clock = new ManualClock();
  const {state, timer} = startTimeout(clock);
  await clock.advance(TIMEOUT_MS / 2);
  timer.cancel();
  await clock.advance(10 * TIMEOUT_MS);
  assert.equal(state.isOver, false);
});

test('a stall during a wait does not count, whenever it happens', async () => {
  for (const beforeMs of [0, 150, TIMEOUT_MS - 1]) {
    const clock = new ManualClock();
    const {state} = startTimeout(clock);
    await clock.advance(beforeMs);
    clock.pause(STALL_MS);
    await clock.advance(0);
    assert.equal(state.isOver, false, `stall after ${beforeMs} ms`);
    await clock.advance(2 * TIMEOUT_MS);
    assert.equal(state.isOver, true);
  }
});

test('a wait goes on after a stall for the time that the stall took from it', async () => {
  const clock = new ManualClock();
  const {state} = startTimeout(clock);
  await clock.advance(50);
  clock.pause(300);
  await clock.advance(250);
  assert.equal(state.isOver, false);
  await clock.advance(150);
  assert.equal(state.isOver, true);
});

test('a timeout ends within three times its milliseconds in a process that stalls all the time', async () => {
  const clock = new ManualClock();
  const {state} = startTimeout(clock);
  const startedAtMs = clock.getNow();
  while (!state.isOver) {
    clock.pause(TIMEOUT_MS / 4);
    await clock.advance(0);
  }
  const tookMs = clock.getNow() - startedAtMs;
  assert.ok(tookMs <= 3 * TIMEOUT_MS, `${tookMs} ms`);
});

test('an answer that arrives while the process is blocked is read before the timeout ends', async () => {
  const clock = new SystemClock();
  let isOver = false;
  const timer = scheduleTimeout(clock, 100, () => (isOver = true));
  const endMs = performance.now() + 300;
  while (performance.now() < endMs);
  // Runs after the timers that are due, like the handlers of arrived data.
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(isOver, false);
  timer.cancel();
});
