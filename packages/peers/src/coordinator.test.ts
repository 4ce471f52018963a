import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
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
  chooseCoordinator,
  listUnconfirmedRivals,
} from './index.ts';

class EmptyStore extends KeyValueStore {
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

function getMiddle(): number {
  return 0.5;
}

function createMembership(store = new EmptyStore()): Membership {
  return new Membership({
    self: {id: 'self', address: '10.0.0.1:1', failureDomain: 'a'},
    store,
    clock: new ManualClock(),
    random: getMiddle,
  });
}

test('the instance that registered first coordinates, also after others restart', () => {
  const membership = createMembership();
  membership.handleEvents([
    createPut('b', 5),
    createPut('self', 7),
    createPut('c', 9),
  ]);
  assert.equal(chooseCoordinator(membership)?.id, 'b');
  membership.handleEvents([createPut('c', 12)]);
  assert.equal(chooseCoordinator(membership)?.id, 'b');
  membership.handleEvents([createPut('b', 15)]);
  assert.equal(chooseCoordinator(membership), undefined);
});

test('one that does not answer is passed over until it registers anew', () => {
  const membership = createMembership();
  membership.handleEvents([
    createPut('b', 5),
    createPut('c', 6),
    createPut('self', 7),
  ]);
  membership.recordUnreachable('b');
  assert.equal(chooseCoordinator(membership)?.id, 'c');
  membership.handleEvents([createDelete('c', 8)]);
  assert.equal(chooseCoordinator(membership), undefined);
  membership.handleEvents([createPut('b', 9), createDelete('self', 10)]);
  assert.equal(chooseCoordinator(membership)?.id, 'b');
});

test('the oldest of the strongest coordinates, whatever weaker ones are older', () => {
  const membership = createMembership();
  membership.handleEvents([
    createPut('weak', 3, 0.3),
    createPut('self', 4),
    createPut('strong', 6, 1.35),
    createPut('younger', 8, 1.3),
  ]);
  assert.equal(chooseCoordinator(membership)?.id, 'strong');
  membership.handleEvents([createDelete('strong', 9)]);
  assert.equal(chooseCoordinator(membership)?.id, 'younger');
  membership.handleEvents([createDelete('younger', 10)]);
  assert.equal(chooseCoordinator(membership), undefined);
});

test('only those who would coordinate are asked whether they live', async () => {
  const store = new EmptyStore();
  store.events = [
    createPut('older', 2),
    createPut('strong', 5, 1.35),
    createPut('older-strong', 4, 1.35),
    createPut('self', 6),
    createPut('younger', 7),
    createPut('weak', 3, 0.3),
  ];
  const membership = createMembership(store);
  await membership.refresh();
  const listIds = () => listUnconfirmedRivals(membership).map(({id}) => id);
  assert.deepEqual(listIds(), ['older-strong', 'strong', 'older']);
  membership.recordUnreachable('older-strong');
  membership.handleEvents([createPut('strong', 8, 1.35)]);
  assert.deepEqual(listIds(), []);
  assert.equal(chooseCoordinator(membership)?.id, 'strong');
});

test('without any registration all choose alike among those heard of', () => {
  const membership = createMembership();
  membership.recordHeard({id: 'b', address: '10.0.0.1:2', failureDomain: 'a'});
  membership.recordHeard({id: 'c', address: '10.0.0.1:3', failureDomain: 'a'});
  const first = chooseCoordinator(membership)?.id;
  assert.equal(chooseCoordinator(membership)?.id, first);
});

test('an instance whose own registration is gone registers again, unless it stops', async () => {
  const store = new EmptyStore();
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
