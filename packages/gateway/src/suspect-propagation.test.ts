import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {ViewFleet} from './test-utils/view-fleet.ts';

/** Milliseconds after the third crash in which every instance has to know. */
const MAX_PROPAGATION_MS = 3000;
/** Milliseconds after which a fleet has its watchers and streams. */
const START_MS = 8000;
const SEED_COUNT = 8;
const POISON = {fingerprint: 'poison', service: 'plain', workspace: 'w1'};

for (const count of [3, 9, 40]) {
  test(`crashes that three of ${count} instances saw quarantine a request on all of them, also without the store`, async () => {
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
      fleet.store.putConfiguration(1);
      await fleet.start();
      await clock.advance(START_MS);
      for (const {client} of fleet.instances) client.isRefused = true;
      const witnesses = [0, 1, count - 1].map(index => fleet.instances[index]);
      for (const [index, {suspects}] of witnesses.entries()) {
        const endedAtMs = clock.getNow();
        const sentAtMs = endedAtMs - 100;
        suspects.recordCrash(POISON, {
          upstream: `u${index}`,
          sentAtMs,
          endedAtMs,
          isRefuted: false,
        });
        if (index < witnesses.length - 1) await clock.advance(300);
      }
      await clock.advance(MAX_PROPAGATION_MS);
      const behind = fleet.instances.filter(
        ({suspects}) => !suspects.isQuarantined('poison'),
      );
      late.push(...behind.map(({id}) => `${seed}: ${id}`));
      fleet.stop();
      await clock.advance(1);
    }
    assert.deepEqual(late, []);
  });
}
