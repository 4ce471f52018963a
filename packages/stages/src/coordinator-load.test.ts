// Guards against a coordinator without processor time that lets in more work than it can settle.
import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CoordinatorLoad} from './coordinator-load.ts';

interface LoadedCoordinator {
  readonly clock: ManualClock;
  readonly load: CoordinatorLoad;
}

/** Creates the load of a process that settles 20 jobs a second and has 40, with timers this late. */
async function createLoad(lateMs: number): Promise<LoadedCoordinator> {
  const clock = new ManualClock();
  const load = new CoordinatorLoad({clock, countJobs: () => 40});
  for (let index = 0; index < 40; index++) {
    load.recordDelay(lateMs);
    load.recordSettled();
    await clock.advance(50);
  }
  return {clock, load};
}

test('a job at a coordinator that is short of processor time takes as long as those before it', async () => {
  const {load} = await createLoad(80);
  const jobMs = load.predictJobMs();
  assert.ok(jobMs > 1900 && jobMs < 2100, `${jobMs} ms`);
});

test('a coordinator whose timers run on time predicts by its upstreams alone', async () => {
  const {load} = await createLoad(5);
  assert.equal(load.predictJobMs(), 0);
});

test('a coordinator that was short of processor time a few seconds ago counts as idle', async () => {
  const {clock, load} = await createLoad(80);
  await clock.advance(2000);
  assert.equal(load.predictJobMs(), 0);
});
