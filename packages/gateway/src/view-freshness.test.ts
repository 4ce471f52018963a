import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {isAcceptingWork} from '@hollowstack/routes';
import {ViewFleet, type ViewInstance} from './test-utils/view-fleet.ts';
import {OPERATOR_PREFIX, UPSTREAM_PREFIX} from './test-utils/view-store.ts';

const FOLLOW_WITHIN_MS = 2000;
const START_MS = 8000;
const STEP_MS = 25;
const SEED_COUNT = 12;
const FAULTS_MS = 8000;
const RECOVERY_MS = 3000;

/** Changes that the store has acknowledged, with the times of the acknowledgements. */
class AcknowledgedChanges {
  readonly configurations: Array<{atMs: number; revision: number}> = [];
  readonly leaves: Array<{atMs: number; id: string}> = [];
  private readonly fleet: ViewFleet;
  private readonly clock: ManualClock;

  constructor(fleet: ViewFleet, clock: ManualClock) {
    this.fleet = fleet;
    this.clock = clock;
  }

  putConfiguration(): void {
    const revision = this.configurations.length + 2;
    this.fleet.store.putConfiguration(revision);
    this.configurations.push({atMs: this.clock.getNow(), revision});
  }

  putLeave(id: string): void {
    this.fleet.store.putUpstream(id, 'leaving');
    this.leaves.push({atMs: this.clock.getNow(), id});
  }

  /** Lists changes that an instance lacks although its freshness claims to include them. */
  listUnknown(instance: ViewInstance): string[] {
    const {id, freshness, routeHolder, registry} = instance;
    const configurationMs = freshness.getKnownUntilMs('configuration') ?? 0;
    const upstreamsMs = freshness.getKnownUntilMs('upstreams') ?? 0;
    const revisions = this.configurations
      .filter(
        ({atMs, revision}) =>
          atMs < configurationMs && revision > routeHolder.getRevision(),
      )
      .map(({revision}) => `${id}: configuration ${revision}`);
    const sending = new Set(
      registry
        .listUpstreams()
        .filter(upstream => isAcceptingWork(upstream))
        .map(upstream => upstream.id),
    );
    const leaves = this.leaves
      .filter(leave => leave.atMs < upstreamsMs && sending.has(leave.id))
      .map(leave => `${id}: ${leave.id} leaves`);
    return [...revisions, ...leaves];
  }
}

function createFleet(clock: ManualClock, random: () => number, count: number) {
  const fleet = new ViewFleet({
    clock,
    random,
    count,
    domainCount: 3,
    followWithinMs: FOLLOW_WITHIN_MS,
  });
  for (let index = 0; index < 60; index++) {
    fleet.store.putUpstream(`u${index}`, 'ready');
  }
  fleet.store.putConfiguration(1);
  return fleet;
}

/** Injects a random fault at some instances; returns a function that ends lasting faults. */
function applyFault(fleet: ViewFleet, random: () => number): () => void {
  const {instances} = fleet;
  const share = random();
  const affected = instances.filter(() => random() < share);
  const kind = Math.floor(random() * 5);
  for (const {client, network} of affected) {
    if (kind === 0) client.silenceConnections(() => true);
    if (kind === 1) network.silenceConnections(() => true);
    if (kind === 2) client.isRefused = true;
    if (kind === 3) client.endWatches();
    if (kind === 4) {
      for (const start of [OPERATOR_PREFIX, UPSTREAM_PREFIX]) {
        client.readDelaysMs.set(start, 900 * random());
      }
      client.endWatches();
    }
  }
  return () => {
    for (const {client} of affected) {
      client.isRefused = false;
      client.readDelaysMs.clear();
    }
  };
}

async function runFaults(seed: number): Promise<string[]> {
  const random = createSeededRandom(seed);
  const clock = new ManualClock();
  const fleet = createFleet(clock, random, random() < 0.5 ? 9 : 24);
  const acknowledged = new AcknowledgedChanges(fleet, clock);
  const unknown = new Set<string>();
  const endFaults: Array<() => void> = [];
  let leaveCount = 0;
  const advance = async (durationMs: number, hasFaults: boolean) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      if (hasFaults && random() < 0.02)
        endFaults.push(applyFault(fleet, random));
      if (hasFaults && random() < 0.02) endFaults.shift()?.();
      if (random() < 0.02) acknowledged.putConfiguration();
      if (random() < 0.02 && leaveCount < 59)
        acknowledged.putLeave(`u${leaveCount++}`);
      // Requests of callers would trigger these refreshes.
      for (const {freshnessGuard} of fleet.instances) {
        if (freshnessGuard.isRefreshDue()) void freshnessGuard.refresh();
      }
      await clock.advance(STEP_MS);
      for (const instance of fleet.instances) {
        for (const each of acknowledged.listUnknown(instance)) {
          unknown.add(`seed ${seed}, ${each}`);
        }
      }
    }
  };
  await fleet.start();
  await clock.advance(START_MS);
  await advance(FAULTS_MS, true);
  for (const endFault of endFaults) endFault();
  await advance(RECOVERY_MS, false);
  for (const {id, freshness} of fleet.instances) {
    if (freshness.isStale()) unknown.add(`seed ${seed}, ${id} stays stale`);
  }
  fleet.stop();
  await clock.advance(1);
  return [...unknown];
}

test('an instance never claims to know a change that it lacks, and is fresh again after every fault', async () => {
  const unknown: string[] = [];
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    unknown.push(...(await runFaults(seed)));
  }
  assert.deepEqual(unknown, []);
});

for (const count of [9, 24, 60]) {
  test(`the view of ${count} instances stays fresh without requests while occasional changes arrive`, async () => {
    const random = createSeededRandom(count);
    const clock = new ManualClock();
    const fleet = createFleet(clock, random, count);
    await fleet.start();
    await clock.advance(START_MS);
    const stale = new Set<string>();
    let changeCount = 0;
    for (let step = 0; step < 1500; step++) {
      if (random() < 0.015)
        fleet.store.putUpstream(`u${changeCount++ % 60}`, 'ready');
      if (random() < 0.005) fleet.store.putConfiguration(2 + step);
      await clock.advance(STEP_MS);
      for (const {id, freshness} of fleet.instances) {
        if (freshness.isStale()) stale.add(id);
      }
    }
    fleet.stop();
    await clock.advance(1);
    assert.deepEqual([...stale], []);
  });
}
