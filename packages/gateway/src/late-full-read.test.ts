// Guards against content that is older than the store revision recorded for it: a full read
// sent before the watch restarted is answered late, after changes that it lacks.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {ViewFleet} from './test-utils/view-fleet.ts';
import {OPERATOR_PREFIX, UPSTREAM_PREFIX} from './test-utils/view-store.ts';

const FOLLOW_WITHIN_MS = 2000;
/** Time after which an instance has established its watch. */
const START_MS = 3000;
/** Longer than a restarted watch takes to begin, back-off included. */
const READ_DELAY_MS = 700;
/** Time after which an interrupted watch has restarted and begun its full read. */
const RESYNC_MS = 450;
/** Time after the last fault within which an instance must be up to date. */
const RECOVERY_MS = 3000;
const SEEDS = [1, 2, 3, 4, 5];

interface Outcome {
  readonly behind: string[];
  readonly sending: string[];
}

function createFleet(clock: ManualClock, seed: number): ViewFleet {
  return new ViewFleet({
    clock,
    random: createSeededRandom(seed),
    count: 1,
    domainCount: 1,
    followWithinMs: FOLLOW_WITHIN_MS,
  });
}

async function runLateFullRead(seed: number): Promise<Outcome> {
  const clock = new ManualClock();
  const fleet = createFleet(clock, seed);
  const {store} = fleet;
  for (const id of ['a', 'b']) store.putUpstream(id, 'ready');
  store.putConfiguration(1);
  await fleet.start();
  await clock.advance(START_MS);
  const [{client}] = fleet.instances;
  for (const start of [OPERATOR_PREFIX, UPSTREAM_PREFIX]) {
    client.readDelaysMs.set(start, READ_DELAY_MS);
  }
  client.endWatches();
  await clock.advance(RESYNC_MS);
  store.putConfiguration(2);
  store.putUpstream('b', 'leaving');
  client.endWatches();
  await clock.advance(RESYNC_MS);
  client.readDelaysMs.clear();
  await clock.advance(RECOVERY_MS);
  const outcome = {
    behind: fleet.listBehind(2).map(({id}) => `${id}, seed ${seed}`),
    sending: fleet.listSending('b').map(({id}) => `${id}, seed ${seed}`),
  };
  fleet.stop();
  await clock.advance(1);
  return outcome;
}

test('an unanswered full read does not delay that of the next watch', async () => {
  const clock = new ManualClock();
  const fleet = createFleet(clock, 1);
  const {store} = fleet;
  store.putConfiguration(1);
  await fleet.start();
  await clock.advance(START_MS);
  const [{client}] = fleet.instances;
  client.readDelaysMs.set(OPERATOR_PREFIX, 2 * FOLLOW_WITHIN_MS);
  client.endWatches();
  await clock.advance(RESYNC_MS);
  client.readDelaysMs.clear();
  store.putConfiguration(2);
  client.endWatches();
  await clock.advance(RESYNC_MS);
  assert.deepEqual(
    fleet.listBehind(2).map(({id}) => id),
    [],
  );
  fleet.stop();
  await clock.advance(2 * FOLLOW_WITHIN_MS);
});

test('a full read that was sent before a watch began does not hide later changes', async () => {
  const outcomes = await Promise.all(SEEDS.map(seed => runLateFullRead(seed)));
  const behind = outcomes.flatMap(outcome => outcome.behind);
  const sending = outcomes.flatMap(outcome => outcome.sending);
  assert.deepEqual({behind, sending}, {behind: [], sending: []});
});
