import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {joinEraRevision} from '@hollowstack/store';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EvacuatedDomains} from './evacuated-domains.ts';

function createEvacuatedDomains() {
  const clock = new ManualClock();
  const evacuated = new EvacuatedDomains({
    protocol: {evacuationPrefix: 'e/'},
    logger: new SilentEventLogger(),
    clock,
  });
  evacuated.applyFullRead([{key: 'e/a'}], 5);
  return {clock, evacuated};
}

test('a full read applies missed changes and keeps newer watch events', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([{type: 'put', key: 'e/b', value: '', modRevision: 9}]);
  evacuated.applyFullRead([{key: 'e/c'}], 8);
  assert.deepEqual(evacuated.getState(), {
    storeRevision: 9,
    failureDomains: ['b', 'c'],
  });
});

test('a full read applies missed changes after an event of another key', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([
    {type: 'put', key: 'other', value: '', modRevision: 9},
  ]);
  evacuated.applyFullRead([{key: 'e/c'}], 8);
  assert.deepEqual(evacuated.getState().failureDomains, ['c']);
});

test('a late full read does not undo the newer state of a peer', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([{type: 'put', key: 'e/b', value: '', modRevision: 9}]);
  const failureDomains = ['a', 'b', 'p'];
  evacuated.replaceState({storeRevision: 20, failureDomains}, 'peer p');
  evacuated.applyFullRead([{key: 'e/a'}], 8);
  assert.deepEqual(evacuated.getState(), {storeRevision: 20, failureDomains});
});

test('a state sent while changes may be missing ends no evacuation that a peer has', () => {
  const {evacuated} = createEvacuatedDomains();
  const peer = createEvacuatedDomains().evacuated;
  peer.applyEvents([{type: 'put', key: 'e/b', value: '', modRevision: 6}]);
  evacuated.recordMissedChanges();
  evacuated.applyEvents([
    {type: 'put', key: 'other', value: '', modRevision: 9},
  ]);
  peer.replaceState(evacuated.getState(), 'peer p');
  assert.equal(peer.isEvacuated('b'), true);
  evacuated.replaceState(peer.getState(), 'peer q');
  assert.equal(evacuated.isEvacuated('b'), true);
});

test('a part of a read begins the evacuations that are newer than the known state', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([
    {type: 'delete', key: 'e/b', value: '', modRevision: 9},
  ]);
  evacuated.applyPartialRead([
    {key: 'e/b', modRevision: 8},
    {key: 'e/c', modRevision: 7},
    {key: 'e/d', modRevision: 4},
  ]);
  assert.deepEqual(evacuated.getState().failureDomains, ['a', 'c']);
  evacuated.applyFullRead([{key: 'e/a'}], 10);
  assert.deepEqual(evacuated.getState().failureDomains, ['a']);
});

const NEXT_ERA_REVISION = joinEraRevision(1, 1);

test('an evacuation that a restored store lacks stays in force for the grace period and, if rewritten, after it', async () => {
  for (const isRewritten of [true, false]) {
    const {clock, evacuated} = createEvacuatedDomains();
    evacuated.beginGrace();
    evacuated.applyFullRead([], NEXT_ERA_REVISION);
    assert.equal(evacuated.isEvacuated('a'), true);
    if (isRewritten) {
      const modRevision = NEXT_ERA_REVISION + 1;
      evacuated.applyEvents([
        {type: 'put', key: 'e/a', value: '', modRevision},
      ]);
    }
    await clock.advance(3000);
    assert.equal(evacuated.isEvacuated('a'), isRewritten);
  }
});
