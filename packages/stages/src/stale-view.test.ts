import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import type {StagePiece} from './stage-protocol.ts';
import {createTestCoordinator} from './test-utils/create-coordinator.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';

const RANK = {name: 'rank', callMs: 10, pieceMs: 0, batchSize: 16};
const REFRESH_MS = 100;

/**
 * Creates a coordinator whose view of the upstreams is stale: the upstream `left` has left, and
 * `stays` has replaced it. A refresh applies this only if `isConfirmed` is set.
 */
function createStaleCoordinator(isConfirmed: boolean) {
  const clock = new ManualClock(0);
  const called: string[] = [];
  let isDue = true;
  let refreshCount = 0;
  let running: Promise<void> | undefined;
  const runRefresh = async () => {
    refreshCount += 1;
    await waitFor(clock, REFRESH_MS);
    isDue = false;
    if (isConfirmed) coordinator.setUpstreams([createRankUpstream('stays')]);
  };
  const coordinator = createTestCoordinator(
    clock,
    [RANK],
    async (id: string, pieces: readonly StagePiece[]) => {
      called.push(id);
      const outcomes = pieces.map(
        ({requestId: handle}) => ({type: 'made', handle, address: id}) as const,
      );
      return {type: 'outcomes', outcomes};
    },
    {
      isRefreshDue: () => isDue,
      refresh: () => (running ??= runRefresh()),
    },
  );
  coordinator.setUpstreams([createRankUpstream('left')]);
  const run = (jobId: string) =>
    void coordinator.runJob(
      createRankJob(jobId, {pieceCount: 1, dueInMs: 3000}),
    );
  return {clock, called, run, countRefreshes: () => refreshCount};
}

test('stage calls wait for the refresh of a stale view and use the refreshed one', async () => {
  const {clock, called, run, countRefreshes} = createStaleCoordinator(true);
  run('j1');
  await clock.advance(REFRESH_MS / 2);
  run('j2');
  assert.deepEqual(called, []);
  await clock.advance(REFRESH_MS);
  assert.deepEqual([...new Set(called)], ['stays']);
  assert.equal(countRefreshes(), 1);
});

test('stage calls use the stale view if it cannot be confirmed', async () => {
  const {clock, called, run} = createStaleCoordinator(false);
  run('j1');
  await clock.advance(2 * REFRESH_MS);
  assert.deepEqual(called, ['left']);
});
