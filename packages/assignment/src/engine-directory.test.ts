import type {RegisteredUpstream} from '@hollowstack/routes';
import type {AssignmentRequest} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EngineDirectory} from './index.ts';

function createEngine(id: string): RegisteredUpstream {
  return {
    id,
    service: 'chat',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    capacity: 1,
    isLeaving: false,
  };
}

function createRequest(
  requestId: string,
  excluded: string[] = [],
): AssignmentRequest {
  const parts = [{id: 'own', tokens: 5000}];
  return {
    requestId,
    service: 'chat',
    parts,
    inputs: [],
    excluded,
    isFinal: true,
  };
}

/** A directory of engines `a` and `b`, of which `a` has one request. */
function createDirectory() {
  const directory = new EngineDirectory(() => 0);
  directory.setUpstreams([createEngine('a'), createEngine('b')]);
  const assign = (requestId: string, excluded?: string[]) =>
    directory.reserveEngine(createRequest(requestId, excluded))?.id;
  assert.equal(assign('r1', ['b']), 'a');
  return {directory, assign};
}

test('an engine that the asker may not use is not counted on', () => {
  const {assign} = createDirectory();
  assert.equal(assign('r2', ['a']), 'b');
  assert.equal(assign('r3', ['a', 'b']), undefined);
});

test('the place at an engine is free once the request begins at another one', () => {
  const {directory, assign} = createDirectory();
  assert.equal(assign('r2'), 'b', 'the place at a is taken');
  directory.recordProgress({requestId: 'r2', upstreamId: 'b', step: 'ended'});
  directory.recordProgress({requestId: 'r1', upstreamId: 'b', step: 'first'});
  assert.equal(assign('r4', ['b']), 'a');
  assert.equal(assign('r4', ['a']), 'b');
});

test('late news of an earlier attempt leave the later one its place', () => {
  const {directory, assign} = createDirectory();
  for (const step of ['failed', 'ended'] as const) {
    directory.recordProgress({requestId: 'r1', upstreamId: 'b', step});
  }
  assert.equal(assign('r2'), 'b');
});
