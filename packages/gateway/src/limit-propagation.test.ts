import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ViewFleet} from './test-utils/view-fleet.ts';

/** Time within which a limit, its change or its end must reach all instances. */
const MAX_PROPAGATION_MS = 3000;
const START_MS = 8000;
const SEED_COUNT = 4;
const UPSTREAM = {id: 'b', service: 'plain'};

for (const count of [2, 9, 40]) {
  test(`a limit, its change and its end reach ${count} instances in time while the store is unavailable`, async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const clock = new ManualClock();
      const fleet = new ViewFleet({
        clock,
        random: createSeededRandom(seed),
        count,
        domainCount: 3,
        followWithinMs: 2000,
      });
      for (const id of ['a', 'b']) fleet.store.putUpstream(id, 'ready');
      fleet.store.putConfiguration(1);
      await fleet.start();
      await clock.advance(START_MS);
      for (const {client} of fleet.instances) client.isRefused = true;
      const [first] = fleet.instances;
      for (const limit of [2, 0.5, undefined]) {
        const sentAtMs = clock.getNow();
        const answer = {upstream: UPSTREAM, requestId: 'r', sentAtMs};
        if (limit === undefined) first.limits.recordNoLimit(answer);
        else first.limits.recordLimit(answer, limit);
        await clock.advance(MAX_PROPAGATION_MS);
        late.push(
          ...fleet.instances
            .filter(({limits}) => limits.getLimit('b') !== limit)
            .map(({id}) => `${seed}: ${id} ${limit}`),
        );
      }
      fleet.stop();
      await clock.advance(1);
    }
    assert.deepEqual(late, []);
  });
}
