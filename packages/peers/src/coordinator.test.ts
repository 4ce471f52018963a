import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {listByRendezvous} from '@hollowstack/routing';
import {
  KeyValueStore,
  type Lease,
  type RangeResult,
  type TransactionResult,
  type WatchEvent,
} from '@hollowstack/store';
import {
  Membership,
  PEER_PREFIX,
  SHARED_PLANNING,
  chooseCoordinator,
  listPlanners,
  listUnconfirmedCandidates,
  type PeerRecord,
} from './index.ts';

/** Milliseconds for which a peer that did not answer is left out in these tests. */
const COOLDOWN_MS = 200;

class StubStore extends KeyValueStore {
  putCount = 0;
  events: readonly WatchEvent[] = [];

  async readRange(): Promise<RangeResult> {
    const keyValues = this.events.map(({key, value, modRevision}) => ({
      key,
      value,
      modRevision,
      createRevision: modRevision,
    }));
    return {storeId: 's', storeRevision: 1, keyValues};
  }

  async runTransaction(): Promise<TransactionResult> {
    this.putCount += 1;
    return {succeeded: true, storeId: 's', storeRevision: 1, reads: []};
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    return {id: '1', ttlMs};
  }

  async renewLease(): Promise<boolean> {
    return true;
  }

  async revokeLease(): Promise<void> {}

  async *watchRanges(): AsyncIterable<readonly WatchEvent[]> {}
}

function createPut(
  id: string,
  modRevision: number,
  cores?: number,
): WatchEvent {
  const value = JSON.stringify({
    id,
    address: `10.0.0.1:${modRevision}`,
    failureDomain: 'a',
    cores,
  });
  return {type: 'put', key: PEER_PREFIX + id, value, modRevision};
}

function createDelete(id: string, modRevision: number): WatchEvent {
  return {type: 'delete', key: PEER_PREFIX + id, value: '', modRevision};
}

function getHalf(): number {
  return 0.5;
}

function createRecord(id: string, cores?: number): PeerRecord {
  return {id, address: `10.0.0.1:${id}`, failureDomain: 'a', cores};
}

function getCoordinatorId(membership: Membership): string {
  return chooseCoordinator(membership)?.id ?? 'self';
}

function createMembership(
  store = new StubStore(),
  clock = new ManualClock(),
  cores?: number,
): Membership {
  return new Membership({
    self: {id: 'self', address: '10.0.0.1:1', failureDomain: 'a', cores},
    store,
    clock,
    random: getHalf,
  });
}

test('the first by rendezvous hashing coordinates, regardless of registration order and restarts', () => {
  const ids = ['a', 'b', 'c', 'd', 'self'];
  const [first, second] = listByRendezvous('coordinator', ids);
  const membership = createMembership();
  membership.handleEvents(ids.map((id, index) => createPut(id, 5 + index)));
  assert.equal(getCoordinatorId(membership), first);
  membership.handleEvents([createPut(second, 2)]);
  assert.equal(getCoordinatorId(membership), first);
  membership.handleEvents([createDelete(first, 20)]);
  assert.equal(getCoordinatorId(membership), second);
  membership.handleEvents([createPut(first, 30)]);
  assert.equal(getCoordinatorId(membership), first);
});

test('a peer that does not answer is passed over until it registers again', () => {
  const ids = ['a', 'b', 'c', 'self'];
  const [first, second] = listByRendezvous(
    'coordinator',
    ids.filter(id => id !== 'self'),
  );
  const membership = createMembership();
  membership.handleEvents([
    createPut(first, 5, 2),
    createPut(second, 6, 2),
    createPut('self', 7),
  ]);
  membership.recordUnreachable(first);
  assert.equal(getCoordinatorId(membership), second);
  membership.handleEvents([createDelete(second, 8)]);
  assert.equal(getCoordinatorId(membership), 'self');
  membership.handleEvents([createPut(first, 9, 2)]);
  assert.equal(getCoordinatorId(membership), first);
});

test('only instances with the most cores coordinate', () => {
  const membership = createMembership();
  const strong = ['strong-1', 'strong-2', 'strong-3'];
  const [first, second, third] = listByRendezvous('coordinator', strong);
  membership.handleEvents([
    createPut('weak', 3, 0.3),
    createPut('self', 4),
    ...strong.map((id, index) => createPut(id, 6 + index, 1.35 - index / 50)),
  ]);
  assert.equal(getCoordinatorId(membership), first);
  membership.handleEvents([createDelete(first, 9)]);
  assert.equal(getCoordinatorId(membership), second);
  membership.handleEvents([createDelete(second, 10), createDelete(third, 11)]);
  assert.equal(getCoordinatorId(membership), 'self');
});

test('a stopping instance hands coordination to any peer, and coordinates itself without peers', async () => {
  const membership = createMembership();
  membership.handleEvents([createPut('weak', 3, 0.3)]);
  assert.equal(getCoordinatorId(membership), 'self');
  await membership.stop();
  assert.equal(getCoordinatorId(membership), 'weak');
  membership.recordUnreachable('weak');
  assert.equal(getCoordinatorId(membership), 'self');
});

test('only peers that would replace the coordinator are candidates, in order of preference', async () => {
  const store = new StubStore();
  const strong = ['strong-1', 'strong-2', 'strong-3'];
  const [first, second, third] = listByRendezvous('coordinator', strong);
  store.events = [
    ...strong.map((id, index) => createPut(id, 3 + index, 1.35)),
    createPut('self', 6),
    createPut('weak', 7, 0.3),
  ];
  const membership = createMembership(store);
  await membership.refresh();
  const listIds = () =>
    listUnconfirmedCandidates(membership, COOLDOWN_MS).map(({id}) => id);
  assert.deepEqual(listIds(), [first, second, third]);
  membership.recordUnreachable(first);
  membership.handleEvents([createPut(second, 8, 1.35)]);
  assert.deepEqual(listIds(), []);
  assert.equal(getCoordinatorId(membership), second);
});

test('a peer that did not answer is a candidate again after its cool-down', async () => {
  const clock = new ManualClock();
  const membership = createMembership(new StubStore(), clock);
  membership.handleEvents([createPut('strong', 3, 2)]);
  membership.recordUnreachable('strong');
  const listIds = () =>
    listUnconfirmedCandidates(membership, COOLDOWN_MS).map(({id}) => id);
  assert.deepEqual(listIds(), []);
  await clock.advance(COOLDOWN_MS + 1);
  assert.deepEqual(listIds(), ['strong']);
  membership.recordContact(createRecord('strong', 2));
  assert.equal(getCoordinatorId(membership), 'strong');
});

test('a peer known only from other peers does not coordinate before a direct contact', () => {
  const membership = createMembership();
  membership.addPeer(createRecord('strong', 2));
  assert.equal(getCoordinatorId(membership), 'self');
  membership.recordContact(createRecord('strong', 2));
  assert.equal(getCoordinatorId(membership), 'strong');
});

test('without any registration, the coordinator is chosen among the peers in contact', () => {
  const membership = createMembership();
  membership.recordContact(createRecord('b'));
  membership.recordContact(createRecord('c'));
  const [first] = listByRendezvous('coordinator', ['self', 'b', 'c']);
  assert.equal(getCoordinatorId(membership), first);
});

test('an instance whose registration was deleted registers again, unless it has stopped', async () => {
  const store = new StubStore();
  const membership = createMembership(store);
  const running = membership.start();
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(store.putCount, 1);
  membership.handleEvents([createDelete('self', 8)]);
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(store.putCount, 2);
  await membership.stop();
  membership.handleEvents([createDelete('self', 9)]);
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(store.putCount, 2);
  await running;
});

function createPlanning(id: string, cores: number): PeerRecord {
  return {...createRecord(id, cores), acceptedRequests: [SHARED_PLANNING]};
}

function createLargeFleet(otherCount = 54, cores = 0.25): Membership {
  const membership = createMembership(undefined, undefined, cores / 4);
  for (let index = 0; index < 6; index++) {
    membership.recordContact(createPlanning(`strong-${index}`, cores));
  }
  for (let index = 0; index < otherCount; index++) {
    membership.recordContact(createPlanning(`weak-${index}`, cores / 4));
  }
  return membership;
}

function listPlannerIds(membership: Membership): string[] {
  return listPlanners(membership).map(({id}) => id);
}

// Guards against one instance that plans the stages of a large fleet by itself.
test('the strongest instances of a large fleet share the planning with each other, not with the coordinator', () => {
  const membership = createLargeFleet();
  const ids = listPlannerIds(membership);
  assert.equal(ids.length, 3);
  assert.ok(ids.every(id => id.startsWith('strong-')));
  assert.ok(!ids.includes(getCoordinatorId(membership)));
});

test('a planner that is gone is replaced by the next in rank, and the others stay', () => {
  const membership = createLargeFleet();
  const before = listPlannerIds(membership);
  membership.recordUnreachable(before[1]);
  const after = listPlannerIds(membership);
  assert.equal(after.length, 3);
  assert.equal(after.filter(id => before.includes(id)).length, 2);
});

test('the coordinator of a small fleet, or of one with older instances, plans alone', () => {
  const small = createLargeFleet(8);
  assert.deepEqual(listPlannerIds(small), [getCoordinatorId(small)]);
  const mixed = createLargeFleet();
  mixed.recordContact(createRecord('older', 0.1));
  assert.deepEqual(listPlannerIds(mixed), [getCoordinatorId(mixed)]);
});

test('a coordinator with much processor time plans alone, weak ones in its place share', () => {
  const membership = createLargeFleet(54, 1.35);
  assert.deepEqual(listPlannerIds(membership), [getCoordinatorId(membership)]);
  for (let index = 0; index < 6; index++) {
    membership.recordUnreachable(`strong-${index}`);
  }
  const ids = listPlannerIds(membership);
  assert.ok(ids.length >= 3, `${ids.length} planners`);
});
