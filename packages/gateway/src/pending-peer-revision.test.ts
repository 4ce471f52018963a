import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PendingPeerRevision} from './pending-peer-revision.ts';

const COPY_DELAY_MS = 600;

test('a copy is due only after the delay in which the store may bring the change', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  assert.equal(pending.isDue(5, 1500), false);
  assert.equal(pending.isDue(5, 1600), true);
});

test('no copy is due for a revision that the store has brought meanwhile', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  assert.equal(pending.isDue(7, 1700), false);
  pending.recordRevision(9, 7, 1700);
  assert.equal(pending.isDue(7, 1800), false);
  assert.equal(pending.isDue(7, 2300), true);
});

test('a further revision of a peer does not postpone the copy', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  pending.recordRevision(8, 5, 1500);
  assert.equal(pending.isDue(5, 1600), true);
  pending.removeRevision();
  assert.equal(pending.isDue(5, 1700), false);
});
