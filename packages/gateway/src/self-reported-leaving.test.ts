import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {ViewFleet} from './test-utils/view-fleet.ts';

/** Time within which a change must be in force. */
const FOLLOW_WITHIN_MS = 2000;
/** Time after which a fleet has established its watches and streams. */
const START_MS = 8000;
const SEED_COUNT = 8;

async function startFleet(
  clock: ManualClock,
  seed: number,
  count: number,
): Promise<ViewFleet> {
  const fleet = new ViewFleet({
    clock,
    random: createSeededRandom(seed),
    count,
    domainCount: 3,
    followWithinMs: FOLLOW_WITHIN_MS,
  });
  for (const id of ['a', 'b']) fleet.store.putUpstream(id, 'ready');
  fleet.store.putConfiguration(1);
  await fleet.start();
  await clock.advance(START_MS);
  return fleet;
}

for (const count of [2, 9, 40]) {
  test(`a report that an upstream leaves, received by one of ${count} instances, reaches all of them in time without the store`, async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const clock = new ManualClock();
      const fleet = await startFleet(clock, seed, count);
      for (const {client} of fleet.instances) client.isRefused = true;
      const [{registry}] = fleet.instances;
      registry.recordLeaving('b', {source: 'answer'});
      await clock.advance(FOLLOW_WITHIN_MS);
      late.push(...fleet.listSending('b').map(({id}) => `${seed}: ${id}`));
      assert.equal(fleet.listSending('a').length, count);
      fleet.stop();
      await clock.advance(1);
    }
    assert.deepEqual(late, []);
  });
}
