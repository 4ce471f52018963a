import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {createSingleKeyRange} from '@hollowstack/store';
import {FOLLOW_WITHIN_MS, TestFleet, type TestInstance} from './test-fleet.ts';

const FLEET_SIZE = 60;
const DOMAIN_COUNT = 5;
/** Three in each failure domain. */
const WATCHER_COUNT = 15;
/** Milliseconds after which a fleet that started at once has chosen its watchers. */
const START_MS = 6000;

interface StartedFleet {
  readonly fleet: TestFleet;
  readonly clock: ManualClock;
}

async function startFleet(t: TestContext): Promise<StartedFleet> {
  const clock = new ManualClock();
  const fleet = new TestFleet(clock);
  fleet.store.put('test/a', '1');
  fleet.start(FLEET_SIZE, DOMAIN_COUNT);
  t.after(() => fleet.stop());
  await clock.advance(START_MS);
  return {fleet, clock};
}

function listWatchers({instances}: TestFleet): TestInstance[] {
  return instances.filter(({relayed}) => relayed.getState() === 'watching');
}

function countWithout(
  instances: readonly TestInstance[],
  key: string,
  value: string | undefined,
): number {
  return instances.filter(({reader}) => reader.values.get(key) !== value)
    .length;
}

test('three instances of each failure domain watch the store, and changes reach all without further reads', async t => {
  const {fleet, clock} = await startFleet(t);
  assert.equal(listWatchers(fleet).length, WATCHER_COUNT);
  assert.equal(countWithout(fleet.instances, 'test/a', '1'), 0);
  const {readCount, watchCount} = fleet.store;
  for (const value of ['2', '3', '4']) {
    fleet.store.put('test/a', value);
    await clock.advance(200);
    assert.equal(countWithout(fleet.instances, 'test/a', value), 0);
  }
  fleet.store.remove('test/a');
  await clock.advance(200);
  assert.equal(countWithout(fleet.instances, 'test/a', undefined), 0);
  assert.equal(fleet.store.readCount, readCount);
  assert.equal(fleet.store.watchCount, watchCount);
});

test('a start takes few reads per instance and few watches in the fleet', async t => {
  const {fleet} = await startFleet(t);
  assert.ok(
    fleet.store.readCount <= 3 * FLEET_SIZE + WATCHER_COUNT,
    `${fleet.store.readCount} reads`,
  );
  assert.ok(
    fleet.store.watchCount <= 2 * WATCHER_COUNT,
    `${fleet.store.watchCount} watches`,
  );
});

test('a change reaches all instances in time while two of three watchers of a domain refuse peers', async t => {
  const {fleet, clock} = await startFleet(t);
  const refusing = listWatchers(fleet)
    .filter(({failureDomain}) => failureDomain === 'domain-0')
    .slice(0, 2);
  for (const watcher of refusing) watcher.peerPath = 'refused';
  fleet.store.put('test/b', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  assert.equal(countWithout(fleet.instances, 'test/b', '1'), 0);
});

test('a change reaches all instances in time while two watchers of each domain never answer', async t => {
  const {fleet, clock} = await startFleet(t);
  const domainsWithAnswer = new Set<string>();
  for (const watcher of listWatchers(fleet)) {
    if (domainsWithAnswer.has(watcher.failureDomain))
      watcher.peerPath = 'silent';
    domainsWithAnswer.add(watcher.failureDomain);
  }
  assert.equal(domainsWithAnswer.size, DOMAIN_COUNT);
  fleet.store.put('test/b', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  assert.equal(countWithout(fleet.instances, 'test/b', '1'), 0);
});

test('a change reaches all instances in time while all watchers refuse peers', async t => {
  const {fleet, clock} = await startFleet(t);
  for (const watcher of listWatchers(fleet)) watcher.peerPath = 'refused';
  await clock.advance(100);
  fleet.store.put('test/b', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  assert.equal(countWithout(fleet.instances, 'test/b', '1'), 0);
});

test('a watcher that has lost the store without detecting it delays no other instance', async t => {
  const {fleet, clock} = await startFleet(t);
  const [cutOff] = listWatchers(fleet);
  cutOff.client.path = 'silent';
  fleet.store.put('test/b', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  const others = fleet.instances.filter(instance => instance !== cutOff);
  assert.equal(countWithout(others, 'test/b', '1'), 0);
});

test('changes still reach followers while the store refuses all watchers of their failure domain', async t => {
  const {fleet, clock} = await startFleet(t);
  const refused = listWatchers(fleet).filter(
    ({failureDomain}) => failureDomain === 'domain-1',
  );
  for (const watcher of refused) watcher.client.path = 'refused';
  await clock.advance(1000);
  fleet.store.put('test/b', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  const others = fleet.instances.filter(
    instance => !refused.includes(instance),
  );
  assert.equal(countWithout(others, 'test/b', '1'), 0);
});

test('an outage causes few reads by followers, and each is notified once of its end', async t => {
  const {fleet, clock} = await startFleet(t);
  const watchers = listWatchers(fleet);
  const followers = fleet.instances.filter(
    instance => !watchers.includes(instance),
  );
  for (const {client} of fleet.instances) client.path = 'refused';
  await clock.advance(FOLLOW_WITHIN_MS - 500);
  fleet.store.remove('test/a');
  fleet.store.put('test/b', '1');
  const readsBefore = fleet.store.readCount;
  for (const {client} of fleet.instances) client.path = 'open';
  await clock.advance(FOLLOW_WITHIN_MS);
  assert.equal(countWithout(fleet.instances, 'test/b', '1'), 0);
  assert.equal(countWithout(fleet.instances, 'test/a', undefined), 0);
  for (const {reader} of followers) assert.equal(reader.outageCount, 1);
  const reads = fleet.store.readCount - readsBefore;
  assert.ok(reads <= 3 * WATCHER_COUNT, `${reads} reads`);
});

test('in a fleet of nine over three failure domains, all instances watch the store', async t => {
  const clock = new ManualClock();
  const fleet = new TestFleet(clock);
  fleet.start(9, 3);
  t.after(() => fleet.stop());
  await clock.advance(START_MS);
  assert.equal(listWatchers(fleet).length, 9);
});

test('a key that is first written while the fleet starts reaches all instances', async t => {
  const clock = new ManualClock();
  const fleet = new TestFleet(clock, createSingleKeyRange('test/first'));
  fleet.start(9, 3);
  t.after(() => fleet.stop());
  await clock.advance(300);
  fleet.store.put('test/first', '1');
  await clock.advance(FOLLOW_WITHIN_MS);
  assert.equal(countWithout(fleet.instances, 'test/first', '1'), 0);
});

/** A link of 7 Mbit/s. */
const SLOW_LINK_BYTES_PER_MS = 875;

test('a configuration of over 400 KB reaches all instances in time over slow links', async t => {
  const {fleet, clock} = await startFleet(t);
  fleet.linkBytesPerMs = SLOW_LINK_BYTES_PER_MS;
  const routes = Array.from({length: 1900}, (_, index) => ({
    name: `r-${(index * 7919).toString(36)}`,
    hostname: `host-${index % 40}.example`,
    pathPrefix: `/${(index * 104_729).toString(36)}/`,
    service: 'registry',
    timeoutMs: 1500,
    objectiveMs: 300,
    priority: index % 3,
    type: 'idempotent',
    maxAttempts: 2,
    is_public: false,
    stages: [],
    notes: 'kept as the operator wrote it, which is what makes it large',
  }));
  const value = JSON.stringify(routes);
  assert.ok(value.length > 400_000, `${value.length}`);
  fleet.store.put('test/a', value);
  await clock.advance(FOLLOW_WITHIN_MS / 2);
  assert.equal(countWithout(fleet.instances, 'test/a', value), 0);
});
