// Guards against upstreams that stay idle for lack of result memory. Load: more chains of two
// stages than the first stage's result memory holds. Its results were stored until the second
// stage had answered, although that stage reads them at the start of its call.
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {RouteTable} from '@hollowstack/routes';
import type {StageJob, StageOutcome, StageResult} from '@hollowstack/types';
import {BackOffTable} from '@hollowstack/upstream-signals';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageCallError} from './stage-caller.ts';
import {StageCoordinator} from './stage-coordinator.ts';
import type {StageCall} from './stage-caller.ts';
import {createTestUpstream} from './test-utils/create-coordinator.ts';
import {getMiddle} from './test-utils/get-middle.ts';
import {NO_LIMITS} from './test-utils/no-limits.ts';
import {ALWAYS_FRESH} from './test-utils/always-fresh.ts';

const CALL_MS = 200;
const RESULT_BYTES = 1000;
/** Milliseconds after which an upstream has fetched the inputs of a call. */
const FETCH_MS = 10;

function createService(name: string, resultCount: number) {
  const stage = {
    concurrency: 1,
    backlog: 0,
    batchSize: 10,
    callMs: CALL_MS,
    pieceMs: 0,
    // Includes the margin for results that exceed their configured size.
    resultBytes: resultCount * RESULT_BYTES * 1.06,
    resultTtlMs: 4000,
  };
  return {name, stage};
}

/**
 * Creates a chain of two stages: `make` produces results, and `read` reads them. Each upstream
 * of `make` can store `memory` results.
 */
function createChain(options: {
  readonly memory: number;
  readonly releasesInputsEarly?: boolean;
  /** Number of upstreams of each stage. */
  readonly upstreams?: number;
}) {
  const clock = new ManualClock(0);
  const logger = new SilentEventLogger();
  const stored = new Set<string>();
  const calls = {broken: 0, missingInputs: 0, maxStored: 0};
  let nextHandle = 1;
  const runPieces = async ({id}: {id: string}, {takePieces}: StageCall) => {
    const pieces = takePieces();
    if (pieces.length === 0)
      return {type: 'not-run', isOtherUpstream: false} as const;
    await waitMs(clock, FETCH_MS);
    const areInputsPresent = pieces.map(({inputs}) =>
      inputs.every(handle => stored.has(handle)),
    );
    await waitMs(clock, CALL_MS);
    if (id.startsWith('reader') && calls.broken > 0) {
      calls.broken -= 1;
      throw new StageCallError('broke off');
    }
    const outcomes = areInputsPresent.map(arePresent => {
      if (!arePresent) {
        calls.missingInputs += 1;
        return {type: 'failed', failure: 'input-gone'} as const;
      }
      const handle = `${id}/${nextHandle++}`;
      if (id.startsWith('maker')) stored.add(handle);
      return {type: 'made', handle, address: id} as const;
    });
    calls.maxStored = Math.max(calls.maxStored, stored.size);
    return {type: 'outcomes', outcomes} as const;
  };
  const coordinator = new StageCoordinator({
    freshnessGuard: ALWAYS_FRESH,
    clock,
    logger,
    metrics: new MetricsRegistry(),
    caller: {
      runPieces,
      releaseResults: async (_, handles) => {
        for (const handle of handles) stored.delete(handle);
      },
      close: () => {},
    },
    backOffs: new BackOffTable({clock, logger}),
    limiter: NO_LIMITS,
    random: getMiddle,
    releasesInputsEarly: options.releasesInputsEarly ?? true,
  });
  const services = [
    createService('make', options.memory),
    createService('read', 1000),
  ];
  const table = {configuration: {services}};
  coordinator.setConfiguration(table as unknown as RouteTable);
  const count = options.upstreams ?? 1;
  coordinator.setUpstreams(
    Array.from({length: count}, (_, index) => [
      createTestUpstream('make', `maker-${index}`),
      createTestUpstream('read', `reader-${index}`),
    ]).flat(),
  );
  return {clock, coordinator, stored, calls};
}

function waitMs(clock: ManualClock, durationMs: number): Promise<void> {
  return new Promise(resolve => clock.schedule(durationMs, resolve));
}

let nextJob = 1;

function createJob(
  service: string,
  pieceCount: number,
  inputs: readonly StageResult[] = [],
  isOnlyReader = true,
): StageJob {
  const jobId = `j${nextJob++}`;
  return {
    jobId,
    requestId: jobId,
    service,
    stage: 0,
    stageKey: `r/${service}`,
    pieceCount,
    key: 'k',
    inputs: inputs.map(({handle}) => handle),
    isOnlyReader,
    resultBytes: RESULT_BYTES,
    dueInMs: 5000,
    remainingMs: 8000,
    priority: 1,
    crossingBytes: 0,
  };
}

type Chain = ReturnType<typeof createChain>;

async function createInputs({clock, coordinator}: Chain, count: number) {
  const made = coordinator.runJob(createJob('make', count));
  const outcome = await clock.advanceUntil(made, 1000);
  assert.equal(outcome.type, 'made');
  return (outcome as Extract<StageOutcome, {type: 'made'}>).results;
}

test('if memory is short, inputs are released after half of the call that reads them', async () => {
  const chain = createChain({memory: 10});
  const inputs = await createInputs(chain, 6);
  const read = chain.coordinator.runJob(createJob('read', 2, inputs));
  await chain.clock.advance(80);
  assert.equal(chain.stored.size, 6);
  await chain.clock.advance(90);
  assert.equal(chain.stored.size, 0);
  const outcome = await chain.clock.advanceUntil(read, 1000);
  assert.equal(outcome.type, 'made');
  assert.equal(
    'areInputsReleased' in outcome && outcome.areInputsReleased,
    true,
  );
});

test('inputs stay stored until their call is answered if memory is sufficient or other stages read them too', async () => {
  for (const [memory, isOnlyReader] of [
    [100, true],
    [10, false],
  ] as const) {
    const chain = createChain({memory});
    const inputs = await createInputs(chain, 6);
    const job = createJob('read', 2, inputs, isOnlyReader);
    const outcome = await chain.clock.advanceUntil(
      chain.coordinator.runJob(job),
      1000,
    );
    assert.equal(chain.stored.size, 6);
    assert.equal(
      'areInputsReleased' in outcome && outcome.areInputsReleased,
      false,
    );
  }
});

test('inputs stay stored while pieces of their job still wait for a call', async () => {
  const chain = createChain({memory: 10});
  const inputs = await createInputs(chain, 6);
  const read = chain.coordinator.runJob(createJob('read', 12, inputs));
  await chain.clock.advance(190);
  assert.equal(chain.stored.size, 6, 'two pieces wait for the second call');
  const outcome = await chain.clock.advanceUntil(read, 1000);
  assert.equal(outcome.type, 'made');
  assert.equal(chain.calls.missingInputs, 0);
});

test('a call that breaks after its inputs were released fails its job at once, so that the stages run again', async () => {
  const chain = createChain({memory: 10});
  const inputs = await createInputs(chain, 6);
  chain.calls.broken = 1;
  const read = chain.coordinator.runJob(createJob('read', 2, inputs));
  const outcome = await chain.clock.advanceUntil(read, 1000);
  assert.deepEqual(
    outcome.type === 'failed' ? outcome.failure : outcome.type,
    'input-gone',
  );
  assert.equal(chain.calls.missingInputs, 0, 'no call is made without inputs');
});

/** Runs more chains than the upstreams can serve for 8 s and counts the finished ones. */
async function countChains(releasesInputsEarly: boolean) {
  const chain = createChain({memory: 20, releasesInputsEarly, upstreams: 4});
  const {clock, coordinator, calls} = chain;
  let doneCount = 0;
  const runOne = async () => {
    const made = await coordinator.runJob(createJob('make', 2));
    if (made.type !== 'made') return;
    const read = await coordinator.runJob(createJob('read', 2, made.results));
    if (read.type !== 'made') return;
    doneCount += 1;
    if (!read.areInputsReleased) coordinator.releaseResults(made.results);
  };
  for (let atMs = 0; atMs < 8000; atMs += 8) {
    void runOne();
    await clock.advance(8);
  }
  assert.ok(calls.maxStored <= 80, `${calls.maxStored} results stored`);
  assert.equal(calls.missingInputs, 0);
  return doneCount;
}

test('early release of inputs raises the throughput of a stage that lacks memory by at least a quarter', async () => {
  const before = await countChains(false);
  const after = await countChains(true);
  assert.ok(after >= before * 1.25, `${before} -> ${after}`);
});
