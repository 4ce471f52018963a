import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ContentRevision} from './content-revision.ts';

test('content is complete up to the newest change while nothing was missed', () => {
  const revision = new ContentRevision();
  revision.recordChange(3);
  assert.equal(revision.getComplete(), 0);
  revision.recordFullRead(5);
  revision.recordChange(7);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [7, 7]);
});

test('changes after a gap are not complete until a reading', () => {
  const revision = new ContentRevision();
  revision.recordFullRead(5);
  revision.beginGap();
  revision.recordChange(9);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 5]);
  revision.recordFullRead(8);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 9]);
});

test('the copy of a peer is complete up to its own revision only', () => {
  const revision = new ContentRevision();
  revision.recordFullRead(5);
  revision.beginGap();
  revision.recordChange(9);
  revision.recordCopy(7);
  assert.deepEqual([revision.getNewest(), revision.getComplete()], [9, 7]);
});
