import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {SystemClock} from './index.ts';

/** Milliseconds after which a clock checks again whether the machine was suspended. */
const CHECK_MS = 10;

/** Clocks of a simulated machine that can be suspended and whose wall clock can be set. */
function createMachine() {
  let steadyMs = 500;
  let suspendedMs = 0;
  let wallStepMs = 0;
  return {
    getWallMs: () => 1_800_000_000_000 + steadyMs + suspendedMs + wallStepMs,
    getSteadyMs: () => steadyMs,
    // The system reports it in steps of 10 ms.
    getBootMs: () => Math.floor((steadyMs + suspendedMs) / 10) * 10,
    advance: (ms: number) => (steadyMs += ms),
    pause: (ms: number) => (suspendedMs += ms),
    setWallClock: (byMs: number) => (wallStepMs += byMs),
  };
}

function createClock(t: TestContext) {
  const machine = createMachine();
  const clock = new SystemClock(machine);
  const suspensions: number[] = [];
  clock.addSuspensionListener(ms => void suspensions.push(ms));
  const schedule = (delayMs: number) => {
    const calls: number[] = [];
    const timer = clock.schedule(delayMs, () => calls.push(clock.getNow()));
    t.after(() => timer.cancel());
    return {calls, timer};
  };
  /** Advances the time until the clock checks again, and reads the clock. */
  const readNext = () => {
    machine.advance(CHECK_MS);
    return clock.getNow();
  };
  return {machine, clock, suspensions, schedule, readNext};
}

test('the clock counts the time during which the machine is suspended', t => {
  const {machine, clock, suspensions, readNext} = createClock(t);
  const beforeMs = clock.getNow();
  machine.pause(3000);
  assert.equal(readNext() - beforeMs, 3000 + CHECK_MS);
  assert.deepEqual(suspensions, [3000]);
  assert.equal(readNext() - beforeMs, 3000 + 2 * CHECK_MS);
  assert.deepEqual(suspensions, [3000]);
});

test('a timer that became due during a suspension fires at once, other timers at their time', async t => {
  const {machine, schedule, readNext} = createClock(t);
  const due = schedule(60_000);
  const later = schedule(600_000);
  const cancelled = schedule(50_000);
  cancelled.timer.cancel();
  machine.pause(61_000);
  readNext();
  await waitMs(50);
  assert.equal(due.calls.length, 1);
  assert.equal(later.calls.length, 0);
  machine.pause(600_000);
  readNext();
  await waitMs(50);
  assert.equal(later.calls.length, 1);
  assert.equal(cancelled.calls.length, 0);
});

test('a step of the wall clock does not affect the clock', t => {
  for (const stepMs of [5000, -5000, 150]) {
    const {machine, clock, suspensions, readNext} = createClock(t);
    const beforeMs = clock.getNow();
    machine.setWallClock(stepMs);
    assert.equal(readNext() - beforeMs, CHECK_MS);
    assert.deepEqual(suspensions, []);
  }
});

test('a suspension between two steps of the wall clock is detected', t => {
  const {machine, suspensions, readNext} = createClock(t);
  machine.setWallClock(-2400);
  readNext();
  machine.pause(150);
  readNext();
  machine.setWallClock(2400);
  readNext();
  assert.deepEqual(suspensions, [150]);
});

test('no suspension is counted if boot-time clock and wall clock disagree', t => {
  const {machine, clock, suspensions, readNext} = createClock(t);
  const beforeMs = clock.getNow();
  const bootMs = machine.getBootMs;
  machine.getBootMs = () => bootMs() + 60_000;
  machine.setWallClock(2400);
  assert.equal(readNext() - beforeMs, CHECK_MS);
  assert.deepEqual(suspensions, []);
});

test('the boot-time clock is not read while wall and monotonic clock agree', t => {
  const {machine, readNext} = createClock(t);
  let reads = 0;
  machine.getBootMs = () => (reads += 1);
  for (let index = 0; index < 1000; index++) readNext();
  assert.equal(reads, 0);
});
