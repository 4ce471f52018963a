import type {RegisteredUpstream} from '@hollowstack/routes';
import type {StageJob} from '@hollowstack/types';
import {createTestUpstream} from './create-coordinator.ts';

/** Creates an upstream of the service `rank`; its address is its id. */
export function createRankUpstream(id: string): RegisteredUpstream {
  return createTestUpstream('rank', id);
}

/** Creates a job without inputs at the service `rank`. */
export function createRankJob(
  jobId: string,
  {pieceCount, dueInMs}: Pick<StageJob, 'pieceCount' | 'dueInMs'>,
): StageJob {
  return {
    jobId,
    requestId: jobId,
    service: 'rank',
    stage: 0,
    stageKey: 'r/0',
    pieceCount,
    key: 'k',
    inputs: [],
    resultBytes: 1,
    dueInMs,
    remainingMs: 8000,
    priority: 1,
    crossingBytes: 0,
  };
}
