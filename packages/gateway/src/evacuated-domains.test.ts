import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
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
  evacuated.applyReading([{key: 'e/a'}], 5);
  return {clock, evacuated};
}

test('a full read applies missed changes and keeps newer watch events', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([{type: 'put', key: 'e/b', value: '', modRevision: 9}]);
  evacuated.applyReading([{key: 'e/c'}], 8);
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
  evacuated.applyReading([{key: 'e/c'}], 8);
  assert.deepEqual(evacuated.getState().failureDomains, ['c']);
});

test('a late full read does not undo the newer state of a peer', () => {
  const {evacuated} = createEvacuatedDomains();
  evacuated.applyEvents([{type: 'put', key: 'e/b', value: '', modRevision: 9}]);
  const failureDomains = ['a', 'b', 'p'];
  evacuated.replaceState({storeRevision: 20, failureDomains}, 'peer p');
  evacuated.applyReading([{key: 'e/a'}], 8);
  assert.deepEqual(evacuated.getState(), {storeRevision: 20, failureDomains});
});
