// Guards against a piece that crashes its upstream and, through retries of the same batch,
// repeatedly fails all other pieces of the call.
import {ManualClock, waitFor} from '@hollowstack/clock';
import type {StageOutcome} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCallError} from './stage-caller.ts';
import type {StagePiece} from './stage-protocol.ts';
import {createTestCoordinator} from './test-utils/create-coordinator.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';

const CALL_MS = 100;
const POISON = 'poison';
const RANK = {name: 'rank', callMs: CALL_MS, pieceMs: 0, batchSize: 16};

/**
 * Creates a coordinator with one upstream, which crashes halfway through any call with the
 * poison request and restarts at once as a new incarnation.
 */
function createCoordinator() {
  const clock = new ManualClock(0);
  const calls: string[][] = [];
  const crashed: string[] = [];
  const registerIncarnation = () =>
    coordinator.setUpstreams([
      createRankUpstream(`incarnation-${crashed.length}`),
    ]);
  const runPieces = async (id: string, pieces: readonly StagePiece[]) => {
    const requestIds = pieces.map(({requestId}) => requestId);
    calls.push(requestIds);
    const isPoisoned = requestIds.includes(POISON);
    const workMs = isPoisoned ? CALL_MS / 2 : CALL_MS;
    await waitFor(clock, workMs);
    if (isPoisoned) {
      crashed.push(id);
      registerIncarnation();
      throw new StageCallError('aborted', {
        isUnreachable: false,
        isPathLost: false,
        hasOutage: false,
        isConnectionLost: true,
      });
    }
    const outcomes = requestIds.map(
      handle => ({type: 'made', handle, address: id}) as const,
    );
    return {type: 'outcomes', outcomes} as const;
  };
  const coordinator = createTestCoordinator(clock, [RANK], runPieces);
  registerIncarnation();
  const outcomes = new Map<string, StageOutcome>();
  const run = (jobId: string, isIsolated?: boolean) =>
    void coordinator
      .runJob({
        ...createRankJob(jobId, {pieceCount: 1, dueInMs: 3000}),
        isIsolated,
      })
      .then(outcome => outcomes.set(jobId, outcome));
  const countTries = (jobId: string) =>
    calls.filter(requestIds => requestIds.includes(jobId)).length;
  return {clock, calls, crashed, outcomes, run, countTries};
}

test('a request that crashes upstreams is isolated from the others of its call, which are retried once', async () => {
  const {clock, crashed, outcomes, run, countTries} = createCoordinator();
  const others = ['j1', 'j2', 'j3'];
  for (const jobId of [...others, POISON]) run(jobId);
  await clock.advance(2000);
  for (const jobId of others) {
    assert.equal(outcomes.get(jobId)?.type, 'made', jobId);
    assert.ok(countTries(jobId) <= 2, `${jobId} tried ${countTries(jobId)}`);
  }
  assert.equal(crashed.length, 2);
  const outcome = outcomes.get(POISON)!;
  assert.ok(outcome.type === 'failed');
  const lost = outcome.brokenCalls?.map(({upstream}) => upstream.id);
  assert.deepEqual(lost, crashed);
});

test('a large broken call is split, and only the part with the poison request breaks again', async () => {
  const {clock, crashed, outcomes, run, countTries} = createCoordinator();
  const others = Array.from({length: 15}, (_, index) => `j${index}`);
  for (const jobId of [...others, POISON]) run(jobId);
  await clock.advance(3000);
  const tries = others.map(countTries);
  assert.ok(others.every(jobId => outcomes.get(jobId)?.type === 'made'));
  assert.ok(Math.max(...tries) <= 3, `${tries}`);
  assert.ok(tries.filter(count => count > 2).length <= 3, `${tries}`);
  assert.equal(crashed.length, 3);
});

test('a job of an isolated request never shares a call, not even its first one', async () => {
  const {clock, calls, outcomes, run} = createCoordinator();
  run('j1');
  run(POISON, true);
  run('j2');
  await clock.advance(1000);
  assert.ok(calls.every(ids => ids.length === 1 || !ids.includes(POISON)));
  assert.equal(outcomes.get('j1')?.type, 'made');
  assert.equal(outcomes.get('j2')?.type, 'made');
});
