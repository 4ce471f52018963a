// Guards against callers that wait for stage calls which cannot reach any upstream.
import {ManualClock} from '@hollowstack/clock';
import type {StageOutcome} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCallError} from './stage-caller.ts';
import {createTestCoordinator} from './test-utils/create-coordinator.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';

const RANK = {name: 'rank', callMs: 100, pieceMs: 0, batchSize: 16};
const PIECE_COUNT = 2;
/** Milliseconds for a rejection, without those of the calls. */
const MAX_REJECTION_MS = 50;

function runJob(hasOutage: boolean) {
  const clock = new ManualClock(0);
  const called: string[] = [];
  const coordinator = createTestCoordinator(clock, [RANK], async id => {
    called.push(id);
    throw new StageCallError('no path to the upstream', {
      isUnreachable: true,
      isPathLost: true,
      hasOutage,
      isConnectionLost: false,
    });
  });
  coordinator.setUpstreams([createRankUpstream('only')]);
  const outcomes: StageOutcome[] = [];
  void coordinator
    .runJob(createRankJob('j1', {pieceCount: PIECE_COUNT, dueInMs: 3000}))
    .then(outcome => outcomes.push(outcome));
  return {clock, called, outcomes};
}

test('a job is rejected after one call if there is no path to any upstream', async () => {
  const {clock, called, outcomes} = runJob(true);
  await clock.advance(1);
  assert.equal(outcomes[0]?.type, 'failed');
  assert.deepEqual(called, ['only']);
});

test('a job whose upstream cannot be reached is tried again and rejected soon', async () => {
  const {clock, called, outcomes} = runJob(false);
  await clock.advance(MAX_REJECTION_MS);
  assert.equal(outcomes[0]?.type, 'failed');
  assert.ok(called.length > 1);
});
