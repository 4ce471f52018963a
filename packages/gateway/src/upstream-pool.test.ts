import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UpstreamPool} from './upstream-pool.ts';

const NONE: ReadonlySet<string> = new Set();

function createRecord(id: string) {
  return {
    id,
    service: 'plain',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    capacity: 4,
    isLeaving: false,
  };
}

test('an upstream that was slow counts as usual again although it gets no work', () => {
  let nowMs = 0;
  const pool = new UpstreamPool(() => nowMs);
  pool.setUpstreams([createRecord('usual'), createRecord('slow')]);
  const getSlowness = (id: string) =>
    pool.listCandidates('plain', NONE).find(each => each.id === id)!.slowness;
  for (let round = 0; round < 40; round++) pool.recordSuccess('usual', 10);
  for (let round = 0; round < 10; round++) pool.recordSuccess('slow', 60);
  assert.ok(getSlowness('slow') > 2);
  assert.equal(getSlowness('usual'), 1);
  nowMs = 20_000;
  assert.equal(getSlowness('slow'), 1);
});
