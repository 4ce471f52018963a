import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryBudget} from './memory-budget.ts';

const KILOBYTE = 1024;

function createMessages(budget: MemoryBudget, ...sizes: readonly number[]) {
  const cancelled: number[] = [];
  const reservations = sizes.map((size, index) => {
    const reservation = budget.createReservation(({limit}) => {
      assert.equal(limit, 'instance');
      cancelled.push(index);
    });
    reservation.setBytes(size);
    return reservation;
  });
  return {cancelled, reservations};
}

test('the largest message is cancelled once all together exceed the budget', () => {
  const budget = new MemoryBudget(1000 * KILOBYTE);
  const {cancelled} = createMessages(
    budget,
    300 * KILOBYTE,
    400 * KILOBYTE,
    200 * KILOBYTE,
    150 * KILOBYTE,
  );
  assert.deepEqual(cancelled, [1]);
  assert.equal(budget.getHeldBytes(), 650 * KILOBYTE);
});

test('the message that exceeds the budget is cancelled if it is the largest', () => {
  const budget = new MemoryBudget(1000 * KILOBYTE);
  const {cancelled, reservations} = createMessages(
    budget,
    400 * KILOBYTE,
    700 * KILOBYTE,
  );
  reservations[1].setBytes(800 * KILOBYTE);
  assert.deepEqual(cancelled, [1]);
  assert.equal(budget.getHeldBytes(), 400 * KILOBYTE);
});

test('a small message is not cancelled though complete ones use up the budget', () => {
  const budget = new MemoryBudget(1000 * KILOBYTE);
  const {cancelled, reservations} = createMessages(budget, 990 * KILOBYTE);
  reservations[0].finishReading();
  const small = createMessages(budget, 64 * KILOBYTE);
  const large = createMessages(budget, 65 * KILOBYTE);
  assert.deepEqual(
    [cancelled, small.cancelled, large.cancelled],
    [[], [], [0]],
  );
});

test('a released message leaves its memory to others', () => {
  const budget = new MemoryBudget(1000 * KILOBYTE);
  const {reservations} = createMessages(budget, 900 * KILOBYTE);
  reservations[0].release();
  reservations[0].release();
  const {cancelled} = createMessages(budget, 900 * KILOBYTE);
  assert.deepEqual(cancelled, []);
  assert.equal(budget.getHeldBytes(), 900 * KILOBYTE);
});
