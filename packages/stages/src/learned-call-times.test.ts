// Guards against drift in the expected durations of calls, under which requests that would be
// in time are refused. Load: calls of every size, from one piece under light load to full
// batches in bursts. Expected durations drifted to 1.4 times the real ones within 20 s, since
// the slowness of upstreams and the duration of pieces were each learned from the error of the
// other, and the fixed duration of small calls was attributed to their pieces.
import {ManualClock} from '@hollowstack/clock';
import {
  EventLogger,
  type EventFields,
  type EventName,
} from '@hollowstack/logger';
import {createSeededRandom} from '@hollowstack/local-system';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {RouteTable} from '@hollowstack/routes';
import {BackOffTable} from '@hollowstack/upstream-signals';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCoordinator} from './stage-coordinator.ts';
import type {StageCall} from './stage-caller.ts';
import {getMiddle} from './test-utils/get-middle.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';
import {NO_LIMITS} from './test-utils/no-limits.ts';
import {ALWAYS_FRESH} from './test-utils/always-fresh.ts';

const SERVICE = {
  name: 'rank',
  stage: {
    concurrency: 1,
    backlog: 0,
    batchSize: 50,
    callMs: 240,
    pieceMs: 4,
    resultBytes: 1_000_000,
    resultTtlMs: 4000,
  },
};
const UPSTREAMS = ['a', 'b', 'c', 'd', 'e'];
const SECONDS = 40;
/** Due time of the jobs; long enough for all of them to be dispatched. */
const DUE_MS = 1500;

class CallLogger extends EventLogger {
  readonly calls: EventFields[] = [];

  logEvent(name: EventName, fields: EventFields = {}): void {
    if (name === 'stage.call') this.calls.push(fields);
  }
}

/** The real durations of calls. */
interface Truth {
  /** Fixed milliseconds of a call, in addition to those of its pieces. */
  readonly callMs: number;
  readonly pieceMs: number;
  /** Factor on the duration of all calls at each upstream. */
  readonly slowness: Readonly<Record<string, number>>;
}

/**
 * Runs waves of load and returns the ratio of expected to real durations of the last
 * calls.
 */
async function runWaves(truth: Truth): Promise<Map<string, number>> {
  const clock = new ManualClock(0);
  const logger = new CallLogger();
  const random = createSeededRandom(5);
  const runPieces = async ({id}: {id: string}, {takePieces}: StageCall) => {
    const pieces = takePieces();
    const {callMs, pieceMs, slowness} = truth;
    const tookMs = (callMs + pieceMs * pieces.length) * (slowness[id] ?? 1);
    await new Promise<void>(resolve => clock.schedule(tookMs, resolve));
    const outcomes = pieces.map(
      ({requestId}) =>
        ({type: 'made', handle: requestId, address: id}) as const,
    );
    return {type: 'outcomes', outcomes} as const;
  };
  const coordinator = new StageCoordinator({
    freshnessGuard: ALWAYS_FRESH,
    clock,
    logger,
    metrics: new MetricsRegistry(),
    caller: {runPieces, releaseResults: async () => {}, close: () => {}},
    backOffs: new BackOffTable({clock, logger}),
    limiter: NO_LIMITS,
    random: getMiddle,
    releasesInputsEarly: true,
  });
  const table = {configuration: {services: [SERVICE]}};
  coordinator.setConfiguration(table as unknown as RouteTable);
  coordinator.setUpstreams(UPSTREAMS.map(createRankUpstream));
  for (let atMs = 0; atMs < SECONDS * 1000; atMs += 20) {
    // Light load for five seconds, then more than the upstreams can serve in small calls.
    const jobs = Math.floor(atMs / 5000) % 2 === 0 ? 0.3 : 2;
    for (let count = jobs * 2 * random(); count > random(); count--) {
      void coordinator.runJob(
        createRankJob(`${atMs}/${count}`, {pieceCount: 4, dueInMs: DUE_MS}),
      );
    }
    await clock.advance(20);
  }
  coordinator.stop();
  return compareTimes(logger.calls.slice(-100));
}

function compareTimes(calls: readonly EventFields[]): Map<string, number> {
  const sums = new Map<string, [number, number]>();
  for (const {upstream, expectedMs, tookMs} of calls) {
    const key = String(upstream);
    const [expected, took] = sums.get(key) ?? [0, 0];
    sums.set(key, [expected + Number(expectedMs), took + Number(tookMs)]);
  }
  return new Map(
    [...sums].map(([key, [expected, took]]) => [key, expected / took]),
  );
}

function checkNear(
  ratios: Map<string, number>,
  minRatio: number,
  maxRatio: number,
) {
  for (const [upstream, ratio] of ratios) {
    assert.ok(ratio >= minRatio && ratio <= maxRatio, `${upstream}: ${ratio}`);
  }
}

test('expected durations match the real ones if the fixed duration of calls is longer than configured', async () => {
  const ratios = await runWaves({callMs: 252, pieceMs: 4, slowness: {}});
  checkNear(ratios, 0.95, 1.05);
});

test('expected durations match the real ones if all calls are faster than configured', async () => {
  const ratios = await runWaves({callMs: 240, pieceMs: 1.2, slowness: {}});
  checkNear(ratios, 0.95, 1.05);
});

test('expected durations match the real ones if all calls are slower than configured', async () => {
  const ratios = await runWaves({callMs: 260, pieceMs: 7, slowness: {}});
  checkNear(ratios, 0.93, 1.05);
});

test('one slow upstream does not change the expected durations of the others', async () => {
  const slowness = {a: 1.6};
  const ratios = await runWaves({callMs: 240, pieceMs: 4, slowness});
  ratios.delete('a');
  checkNear(ratios, 0.94, 1.06);
});
