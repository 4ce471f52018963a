import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PendingPeerRevision} from './pending-peer-revision.ts';

const COPY_DELAY_MS = 600;

test('a copy is asked for only once the store had its time to tell', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  assert.equal(pending.isDue(5, 1500), false);
  assert.equal(pending.isDue(5, 1600), true);
});

test('what the store has told meanwhile is no news', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  assert.equal(pending.isDue(7, 1700), false);
  pending.recordRevision(9, 7, 1700);
  assert.equal(pending.isDue(7, 1800), false);
  assert.equal(pending.isDue(7, 2300), true);
});

test('further news do not put the asking off', () => {
  const pending = new PendingPeerRevision(COPY_DELAY_MS);
  pending.recordRevision(7, 5, 1000);
  pending.recordRevision(8, 5, 1500);
  assert.equal(pending.isDue(5, 1600), true);
  pending.removeRevision();
  assert.equal(pending.isDue(5, 1700), false);
});
