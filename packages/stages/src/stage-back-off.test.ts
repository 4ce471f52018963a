// Guards against jobs that are sent back and forth until their deadline between upstreams
// that all refuse calls with a retry delay.
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {RouteTable} from '@hollowstack/routes';
import type {StageOutcome} from '@hollowstack/types';
import {BackOffTable} from '@hollowstack/upstream-signals';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCoordinator} from './stage-coordinator.ts';
import type {StageCall} from './stage-caller.ts';
import {getMiddle} from './test-utils/get-middle.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';
import {NO_LIMITS} from './test-utils/no-limits.ts';
import {ALWAYS_FRESH} from './test-utils/always-fresh.ts';

const CALL_MS = 100;
const SERVICE = {
  name: 'rank',
  stage: {
    concurrency: 1,
    backlog: 0,
    batchSize: 4,
    callMs: CALL_MS,
    pieceMs: 0,
    resultBytes: 1_000_000,
    resultTtlMs: 4000,
  },
};

/**
 * Creates a coordinator with the upstreams `a` and `b`, which refuse the first `count` calls
 * with a retry delay of `forMs`.
 */
function createCoordinator(refusals: {count: number; forMs: number}) {
  const clock = new ManualClock(0);
  const logger = new SilentEventLogger();
  const backOffs = new BackOffTable({clock, logger});
  const callsAtMs: Array<{id: string; atMs: number}> = [];
  const caller = {
    runPieces: async ({id}: {id: string}, {takePieces}: StageCall) => {
      const notRun = {type: 'not-run', isOtherUpstream: false} as const;
      const pieces = takePieces();
      if (pieces.length === 0) return notRun;
      callsAtMs.push({id, atMs: clock.getNow()});
      if (refusals.count > 0) {
        refusals.count -= 1;
        backOffs.beginBackOff(id, refusals.forMs);
        return notRun;
      }
      await new Promise<void>(resolve => clock.schedule(CALL_MS, resolve));
      const outcomes = pieces.map(
        ({requestId}) =>
          ({type: 'made', handle: requestId, address: id}) as const,
      );
      return {type: 'outcomes', outcomes} as const;
    },
    releaseResults: async () => {},
    close: () => {},
  };
  const coordinator = new StageCoordinator({
    freshnessGuard: ALWAYS_FRESH,
    clock,
    logger,
    metrics: new MetricsRegistry(),
    caller,
    backOffs,
    limiter: NO_LIMITS,
    random: getMiddle,
    releasesInputsEarly: true,
  });
  const table = {configuration: {services: [SERVICE]}};
  coordinator.setConfiguration(table as unknown as RouteTable);
  coordinator.setUpstreams([createRankUpstream('a'), createRankUpstream('b')]);
  const run = (jobId: string, dueInMs: number) => {
    const ended: {outcome?: StageOutcome; atMs?: number} = {};
    void coordinator
      .runJob(createRankJob(jobId, {pieceCount: 1, dueInMs}))
      .then(outcome => {
        Object.assign(ended, {outcome, atMs: clock.getNow()});
      });
    return ended;
  };
  return {clock, backOffs, coordinator, callsAtMs, run};
}

test('a refused call goes to the upstream that still takes work', async () => {
  const {clock, callsAtMs, run} = createCoordinator({count: 1, forMs: 3000});
  const job = run('j1', 1000);
  await clock.advance(1000);
  assert.equal(job.outcome?.type, 'made');
  assert.equal(new Set(callsAtMs.map(({id}) => id)).size, 2);
});

test('jobs fail at once, with the remaining retry delay, if no upstream takes work in their time', async () => {
  const {clock, callsAtMs, run} = createCoordinator({count: 2, forMs: 3000});
  const job = run('j1', 1000);
  await clock.advance(200);
  assert.equal(job.outcome?.type, 'failed');
  assert.ok(job.atMs! < 100, `${job.atMs} ms`);
  const {message, retryAfterMs} = job.outcome as Extract<
    StageOutcome,
    {type: 'failed'}
  >;
  assert.match(message, /have asked for none/);
  assert.ok(retryAfterMs! > 2800 && retryAfterMs! <= 3000);
  run('j2', 1000);
  await clock.advance(2700);
  assert.equal(callsAtMs.length, 2);
});

test('a job waits for upstreams whose back-off ends well within its time', async () => {
  const {clock, callsAtMs, run} = createCoordinator({count: 2, forMs: 400});
  const job = run('j1', 1000);
  await clock.advance(1000);
  assert.equal(job.outcome?.type, 'made');
  const early = callsAtMs.slice(2).filter(({atMs}) => atMs < 400);
  assert.deepEqual(early, []);
});

test('a call that is cancelled before its send counts neither against its job nor its upstream', async () => {
  const {clock, backOffs, callsAtMs, run} = createCoordinator({
    count: 0,
    forMs: 0,
  });
  // The back-offs begin between the plan and the send, ten times in a row.
  for (let round = 0; round < 10; round++) {
    const job = run(`j${round}`, 2000);
    backOffs.beginBackOff('a', 300);
    backOffs.beginBackOff('b', 300);
    await clock.advance(1200);
    assert.equal(job.outcome?.type, 'made', `round ${round}`);
  }
  assert.equal(callsAtMs.length, 10);
});

test('a coordinator counts fewer call slots and admits less while upstreams back off', async () => {
  const {clock, backOffs, coordinator} = createCoordinator({
    count: 0,
    forMs: 0,
  });
  const countAdmitted = () => {
    let count = 0;
    const steps = [
      {
        service: 'rank',
        stageKey: 'r/0',
        resultBytes: 1,
        pieceCount: 4,
        after: [],
      },
    ];
    while (count < 100) {
      const decision = coordinator.admitRequest({
        requestId: `r${count}`,
        route: 'r',
        steps,
        requestMs: 50,
        ownTokens: 0,
        dueInMs: 1000,
        remainingMs: 8000,
        priority: 1,
        mayComeBack: true,
      });
      if (!decision.isAdmitted) break;
      count += 1;
    }
    for (let each = 0; each <= count; each++) {
      coordinator.endRequest(`r${each}`);
    }
    return count;
  };
  const initialCount = countAdmitted();
  backOffs.beginBackOff('a', 3000);
  const reducedCount = countAdmitted();
  assert.ok(
    reducedCount > 0 && reducedCount <= initialCount / 2 + 1,
    `${reducedCount} of ${initialCount}`,
  );
  backOffs.beginBackOff('b', 3000);
  assert.equal(countAdmitted(), 0);
  await clock.advance(4000);
  assert.equal(countAdmitted(), initialCount);
});
