// Guards against stage calls and releases that exceed the rate limits of upstreams.
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {RouteTable} from '@hollowstack/routes';
import {
  GrantSource,
  LimitTable,
  SendGranter,
  SendLimiter,
} from '@hollowstack/upstream-limits';
import {BackOffTable} from '@hollowstack/upstream-signals';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCoordinator} from './stage-coordinator.ts';
import type {StageCall} from './stage-caller.ts';
import {getMiddle} from './test-utils/get-middle.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';
import {ALWAYS_FRESH} from './test-utils/always-fresh.ts';

const CALL_MS = 50;
const WINDOW_MS = 4000;
const LIMIT_PER_SECOND = 1;
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

class LocalGrantSource extends GrantSource {
  isCoordinator(): boolean {
    return true;
  }
  async askCoordinator(): Promise<undefined> {
    return undefined;
  }
}

function createCoordinator(limited: readonly string[]) {
  const clock = new ManualClock(0);
  const logger = new SilentEventLogger();
  const metrics = new MetricsRegistry();
  const table = new LimitTable({clock, logger});
  for (const id of limited) {
    const upstream = {id, service: 'rank'};
    table.recordLimit(
      {upstream, requestId: 'r', sentAtMs: 0},
      LIMIT_PER_SECOND,
    );
  }
  const limiter = new SendLimiter({
    clock,
    logger,
    metrics,
    table,
    random: getMiddle,
    granter: new SendGranter({
      clock,
      random: getMiddle,
      getLimit: id => table.getLimit(id),
    }),
    source: new LocalGrantSource(),
    getInstanceCount: () => 1,
  });
  const callsAtMs = new Map<string, number[]>([
    ['a', []],
    ['b', []],
  ]);
  const releasesAtMs: number[] = [];
  const coordinator = new StageCoordinator({
    freshnessGuard: ALWAYS_FRESH,
    clock,
    logger,
    metrics,
    limiter,
    caller: {
      runPieces: async ({id}: {id: string}, {takePieces}: StageCall) => {
        const pieces = takePieces();
        if (pieces.length === 0)
          return {type: 'not-run', isOtherUpstream: false};
        callsAtMs.get(id)!.push(clock.getNow());
        await new Promise<void>(resolve => clock.schedule(CALL_MS, resolve));
        const outcomes = pieces.map(
          ({requestId}) =>
            ({type: 'made', handle: requestId, address: id}) as const,
        );
        return {type: 'outcomes', outcomes};
      },
      releaseResults: async () => {
        releasesAtMs.push(clock.getNow());
      },
      close: () => {},
    },
    backOffs: new BackOffTable({clock, logger}),
    random: getMiddle,
    releasesInputsEarly: true,
  });
  const routes = {configuration: {services: [SERVICE]}};
  coordinator.setConfiguration(routes as unknown as RouteTable);
  coordinator.setUpstreams([createRankUpstream('a'), createRankUpstream('b')]);
  return {clock, coordinator, callsAtMs, releasesAtMs};
}

function countPeak(times: readonly number[]): number {
  const counts = times.map(
    fromMs =>
      times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

/**
 * Submits jobs of one piece; resolves with the numbers of submitted and successful jobs.
 */
async function runLoad(
  {clock, coordinator}: ReturnType<typeof createCoordinator>,
  durationMs: number,
  intervalMs: number,
): Promise<{made: number; submitted: number}> {
  let made = 0;
  let submitted = 0;
  for (; clock.getNow() < durationMs;) {
    submitted += 1;
    const job = createRankJob(`j${submitted}`, {pieceCount: 1, dueInMs: 600});
    void coordinator.runJob(job).then(outcome => {
      if (outcome.type === 'made') {
        made += 1;
        coordinator.releaseResults(outcome.results);
      }
    });
    await clock.advance(intervalMs);
  }
  return {made, submitted};
}

test('a limited upstream receives calls within its limit while the other one serves the rest', async () => {
  const setup = createCoordinator(['a']);
  const {made, submitted} = await runLoad(setup, 4 * WINDOW_MS, 40);
  const limited = setup.callsAtMs.get('a')!;
  assert.ok(
    countPeak(limited) <= LIMIT_PER_SECOND * 4 + 1,
    `${countPeak(limited)}`,
  );
  assert.ok(limited.length >= 5, `${limited.length}`);
  assert.ok(made >= 0.98 * (submitted - 15), `${made} of ${submitted}`);
});

test('when all upstreams are limited, calls use most of the limits and releases are batched', async () => {
  const setup = createCoordinator(['a', 'b']);
  await runLoad(setup, 4 * WINDOW_MS, 40);
  for (const times of setup.callsAtMs.values()) {
    assert.ok(
      countPeak(times) <= LIMIT_PER_SECOND * 4 + 1,
      `${countPeak(times)}`,
    );
    assert.ok(times.length > 0.7 * LIMIT_PER_SECOND * 16, `${times.length}`);
  }
  const mostReleases = countPeak(setup.releasesAtMs);
  assert.ok(mostReleases <= 4, `${mostReleases}`);
});

test('stages that limited upstreams cannot run in time are not admitted', async () => {
  const {clock, coordinator} = createCoordinator(['a', 'b']);
  const admitted: boolean[] = [];
  for (let index = 0; index < 40; index++) {
    const {isAdmitted} = coordinator.admitRequest({
      requestId: `r${index}`,
      route: 'ranked',
      steps: [
        {
          service: 'rank',
          stageKey: 'ranked/0',
          resultBytes: 10,
          pieceCount: 4,
          after: [],
        },
      ],
      requestMs: 10,
      ownTokens: 0,
      dueInMs: 600,
      remainingMs: 2000,
      priority: 1,
      mayComeBack: true,
    });
    admitted.push(isAdmitted);
    await clock.advance(5);
  }
  const count = admitted.filter(isAdmitted => isAdmitted).length;
  assert.ok(count >= 1 && count <= 4, `${count} admitted`);
});
