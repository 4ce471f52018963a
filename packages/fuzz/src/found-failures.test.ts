import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FuzzHarness, checkInvariants} from './index.ts';

// Regression tests for failures that fuzzing found, with the commands that shrinking left.

type Step = (harness: FuzzHarness) => Promise<void> | void;

const RECOVERY_MS = 15_000;

async function checkSteps(steps: readonly Step[]): Promise<void> {
  const harness = new FuzzHarness(0);
  await harness.start();
  for (const step of steps) {
    await step(harness);
    await harness.clock.advance(1);
  }
  await harness.endFaults(RECOVERY_MS);
  const violations = checkInvariants(harness);
  await harness.system.stop();
  assert.deepEqual(violations, []);
}

const advance =
  (durationMs: number): Step =>
  harness =>
    harness.clock.advance(durationMs);
const backup: Step = harness => harness.system.platform.createBackup();
const restore: Step = harness => harness.restoreStore();

test('a booking is not run again after a restore of the store removed its claim', () =>
  checkSteps([
    harness => harness.sendBooking(0, true),
    backup,
    advance(5),
    harness => harness.sendBookingAgain(0, 0),
    restore,
    advance(500),
    harness => harness.sendBookingAgain(1, 0),
    harness => harness.sendBookingAgain(2, 0),
  ]));

test('a change that only its publishing instance has read survives a restore of the store', () =>
  checkSteps([
    harness => harness.setPlatformFaults({isStale: true}),
    backup,
    harness => harness.publishChange(0, 0),
    advance(2000),
    restore,
  ]));

test('a call with an idempotency key is answered by its deadline although the store is slow', () =>
  checkSteps([
    harness => harness.sendBooking(4, true),
    harness => harness.sendBookingAgain(4, 0),
    harness => harness.setPlatformFaults({delayMs: 700}),
    advance(4000),
    harness => harness.sendBookingAgain(0, 0),
  ]));

test('an instance that starts after a restore of the store finds its peers', () =>
  checkSteps([
    backup,
    harness => harness.killInstance(0),
    harness => harness.publishChange(4, 0),
    harness => harness.drainInstance(1),
    advance(600),
    restore,
    harness => harness.killInstance(0),
    advance(40),
    restore,
    harness => harness.setPlatformFaults({lostReplies: 1}),
  ]));

test('an instance that resumes from a pause sends nothing to an upstream that was listed as leaving during the pause', () =>
  checkSteps([
    harness => harness.pauseInstance(2),
    harness => harness.setListedLeaving(0, true),
    advance(4000),
    harness => harness.sendPipeline(2, 'chat', false),
    harness => harness.sendPipeline(2, 'summary', false),
    harness => harness.sendPipeline(2, 'chat', true),
    harness => harness.resumeInstances(),
  ]));

test('a publish that reads before a restore and writes after it does not reuse a revision number', () =>
  checkSteps([
    backup,
    harness => harness.publishChange(0, 0),
    harness => harness.setPlatformFaults({isStale: true}),
    harness => harness.publishChange(0, 0),
    advance(150),
    harness => harness.setPlatformFaults({delayMs: 700}),
    advance(2000),
    restore,
  ]));
