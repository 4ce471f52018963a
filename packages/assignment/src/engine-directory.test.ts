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

/** Creates a directory with engines `a` and `b`; `a` has one assigned request. */
function createDirectory() {
  const directory = new EngineDirectory(() => 0);
  directory.setUpstreams([createEngine('a'), createEngine('b')]);
  const assign = (requestId: string, excluded?: string[]) =>
    directory.reserveEngine(createRequest(requestId, excluded))?.id;
  assert.equal(assign('r1', ['b']), 'a');
  return {directory, assign};
}

test('an excluded engine is not chosen', () => {
  const {assign} = createDirectory();
  assert.equal(assign('r2', ['a']), 'b');
  assert.equal(assign('r3', ['a', 'b']), undefined);
});

test('the assignment is released once the request starts at another engine', () => {
  const {directory, assign} = createDirectory();
  assert.equal(assign('r2'), 'b', 'the slot at a is occupied');
  directory.recordProgress({requestId: 'r2', upstreamId: 'b', step: 'ended'});
  directory.recordProgress({requestId: 'r1', upstreamId: 'b', step: 'first'});
  assert.equal(assign('r4', ['b']), 'a');
  assert.equal(assign('r4', ['a']), 'b');
});

test('late reports of an earlier attempt do not release the assignment of the later one', () => {
  const {directory, assign} = createDirectory();
  for (const step of ['failed', 'ended'] as const) {
    directory.recordProgress({requestId: 'r1', upstreamId: 'b', step});
  }
  assert.equal(assign('r2'), 'b');
});

test('a brittle engine gets no more requests than it can run, and none right after it rejected one', () => {
  let nowMs = 0;
  const isBrittle = () => true;
  const directory = new EngineDirectory(() => nowMs, undefined, isBrittle);
  directory.setUpstreams([createEngine('a')]);
  const assign = (requestId: string) =>
    directory.reserveEngine(createRequest(requestId))?.id;
  assert.equal(assign('r1'), 'a');
  assert.equal(assign('r2'), undefined);
  directory.recordProgress({
    requestId: 'r1',
    upstreamId: 'a',
    step: 'ended',
    isTurnedAway: true,
  });
  assert.equal(assign('r3'), undefined);
  nowMs = 300;
  assert.equal(assign('r4'), 'a');
});
