import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {ViewFleet} from './test-utils/view-fleet.ts';

/** Time within which a change must be in force. */
const FOLLOW_WITHIN_MS = 2000;
/** Time after which a fleet has established its watches and streams. */
const START_MS = 8000;
/** Maximum time between a fault and the change. */
const CHANGE_WITHIN_MS = 4000;
const SEED_COUNT = 40;

/** Faults, of which each seed injects one. */
const FAULTS = [
  'store-connections-of-one',
  'store-connections-of-all',
  'streams',
  'half-of-everything',
  'everything',
  'store-refuses-one',
] as const;
type Fault = (typeof FAULTS)[number];

function applyFault(
  fleet: ViewFleet,
  fault: Fault,
  random: () => number,
): void {
  const {instances} = fleet;
  const target = instances[Math.floor(random() * instances.length)];
  const share = fault === 'half-of-everything' ? 0.5 : 1;
  const isAffected = () => random() < share;
  if (fault === 'store-connections-of-one') {
    target.client.silenceConnections(isAffected);
    return;
  }
  if (fault === 'store-refuses-one') {
    target.client.isRefused = true;
    return;
  }
  for (const {client, network} of instances) {
    if (fault !== 'streams') client.silenceConnections(isAffected);
    if (fault !== 'store-connections-of-all') {
      network.silenceConnections(isAffected);
    }
  }
}

/** Changes by operators and upstreams after a fault; each has a test. */
const CHANGES = ['leave', 'evacuate', 'evacuate-and-return'] as const;
type Change = (typeof CHANGES)[number];

interface Scenario {
  readonly fleet: ViewFleet;
  readonly clock: ManualClock;
  readonly random: () => number;
}

/** Makes upstream `b` leave, or evacuates its domain; returns the instances that are late. */
async function runChange(
  {fleet, clock, random}: Scenario,
  change: Change,
): Promise<string[]> {
  const {store} = fleet;
  if (change !== 'leave') store.putEvacuation('b');
  else if (random() < 0.5) store.putUpstream('b', 'leaving');
  else store.removeUpstream('b');
  store.putConfiguration(2);
  await clock.advance(FOLLOW_WITHIN_MS);
  const late = [
    ...fleet.listSending('b').map(({id}) => `${id} still sends`),
    ...fleet.listBehind(2).map(({id}) => `${id} has no configuration`),
  ];
  if (change !== 'evacuate-and-return') return late;
  store.removeEvacuation('b');
  await clock.advance(FOLLOW_WITHIN_MS);
  const sending = new Set(fleet.listSending('b'));
  const idle = fleet.instances.filter(instance => !sending.has(instance));
  return [...late, ...idle.map(({id}) => `${id} does not send again`)];
}

/** Runs the scenario of one seed and returns the failures. */
async function runSeed(seed: number, change: Change): Promise<string[]> {
  const random = createSeededRandom(seed);
  const clock = new ManualClock();
  // Nine instances all watch the store; of 24 in three domains 15 follow a relay.
  const count = random() < 0.5 ? 9 : 24;
  const fleet = new ViewFleet({
    clock,
    random,
    count,
    domainCount: 3,
    followWithinMs: FOLLOW_WITHIN_MS,
  });
  const {store} = fleet;
  for (const id of ['a', 'b', 'c']) store.putUpstream(id, 'ready');
  store.putConfiguration(1);
  try {
    await fleet.start();
    await clock.advance(START_MS + random() * CHANGE_WITHIN_MS);
    const fault = FAULTS[Math.floor(random() * FAULTS.length)];
    applyFault(fleet, fault, random);
    await clock.advance(random() * CHANGE_WITHIN_MS);
    const late = await runChange({fleet, clock, random}, change);
    return late.map(
      each => `seed ${seed}, ${count}, ${fault}, ${change}: ${each}`,
    );
  } finally {
    fleet.stop();
    await clock.advance(1);
  }
}

for (const change of CHANGES) {
  test(`a change (${change}) is in force at all instances in time, whichever connections become unresponsive`, async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      late.push(...(await runSeed(seed, change)));
    }
    assert.deepEqual(late, []);
  });
}
