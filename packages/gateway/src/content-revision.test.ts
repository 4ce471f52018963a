import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ContentRevision} from './content-revision.ts';

test('content is complete up to the newest change if no change was missed', () => {
  const revision = new ContentRevision();
  revision.recordChange(3);
  assert.equal(revision.getComplete(), 0);
  revision.recordFullRead(5);
  revision.recordChange(7);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [7, 7]);
});

test('content after a gap is not complete until a full read', () => {
  const revision = new ContentRevision();
  revision.recordFullRead(5);
  revision.beginGap();
  revision.recordChange(9);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 5]);
  revision.recordFullRead(8);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 9]);
});

test('the copy of a peer makes the content complete only up to its own revision', () => {
  const revision = new ContentRevision();
  revision.recordFullRead(5);
  revision.beginGap();
  revision.recordChange(9);
  revision.recordCopy(7);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 7]);
});
