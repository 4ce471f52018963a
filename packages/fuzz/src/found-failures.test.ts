import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FuzzHarness, checkInvariants} from './index.ts';

// Each failure that fuzzing found, by its shrunk commands.

type Step = (world: FuzzHarness) => Promise<void> | void;

const HEAL_MS = 15_000;

async function checkSteps(steps: readonly Step[]): Promise<void> {
  const world = new FuzzHarness(0);
  await world.start();
  for (const step of steps) {
    await step(world);
    await world.clock.advance(1);
  }
  await world.endFaults(HEAL_MS);
  const violations = checkInvariants(world);
  await world.system.stop();
  assert.deepEqual(violations, []);
}

const advance =
  (durationMs: number): Step =>
  world =>
    world.clock.advance(durationMs);
const backup: Step = world => world.system.platform.createBackup();
const restore: Step = world => world.restoreStore();

test('a booking is not run again after the store lost its claim to a restore', () =>
  checkSteps([
    world => world.sendBooking(0, true),
    backup,
    advance(5),
    world => world.sendBookingAgain(0, 0),
    restore,
    advance(500),
    world => world.sendBookingAgain(1, 0),
    world => world.sendBookingAgain(2, 0),
  ]));

test('a change that only the publishing instance could read survives a restore of the store', () =>
  checkSteps([
    world => world.setPlatformFaults({isStale: true}),
    backup,
    world => world.publishChange(0, 0),
    advance(2000),
    restore,
  ]));

test('a keyed call behind a slow store is answered at its deadline', () =>
  checkSteps([
    world => world.sendBooking(4, true),
    world => world.sendBookingAgain(4, 0),
    world => world.setPlatformFaults({delayMs: 700}),
    advance(4000),
    world => world.sendBookingAgain(0, 0),
  ]));

test('an instance that starts on a restored store still finds its peers', () =>
  checkSteps([
    backup,
    world => world.killInstance(0),
    world => world.publishChange(4, 0),
    world => world.drainInstance(1),
    advance(600),
    restore,
    world => world.killInstance(0),
    advance(40),
    restore,
    world => world.setPlatformFaults({lostReplies: 1}),
  ]));

test('an instance that wakes from a pause sends nothing to an upstream that left meanwhile', () =>
  checkSteps([
    world => world.pauseInstance(2),
    world => world.setListedLeaving(0, true),
    advance(4000),
    world => world.sendPipeline(2, 'chat', false),
    world => world.sendPipeline(2, 'summary', false),
    world => world.sendPipeline(2, 'chat', true),
    world => world.resumeInstances(),
  ]));

test('a publish that reads before a restore and writes after it makes no second revision of the same number', () =>
  checkSteps([
    backup,
    world => world.publishChange(0, 0),
    world => world.setPlatformFaults({isStale: true}),
    world => world.publishChange(0, 0),
    advance(150),
    world => world.setPlatformFaults({delayMs: 700}),
    advance(2000),
    restore,
  ]));
