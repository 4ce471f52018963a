import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  assembleBatches,
  type BatchPlanInput,
  type FreeUpstream,
  type WaitingJob,
} from './batch-plan.ts';

function createJob(
  jobId: string,
  changes: Partial<WaitingJob> = {},
): WaitingJob {
  return {
    jobId,
    pieceCount: 1,
    pieceMs: 10,
    resultBytes: 10,
    queuedAtMs: 0,
    dueAtMs: 1000,
    priority: 0,
    hasInputs: false,
    reserveMs: 0,
    failureDomain: undefined,
    crossingBytes: 0,
    isolation: undefined,
    ...changes,
  };
}

function createUpstream(
  id: string,
  changes: Partial<FreeUpstream> = {},
): FreeUpstream {
  return {
    id,
    failureDomain: 'a',
    freeBytes: 1000,
    slowness: 1,
    idleSinceMs: 0,
    ...changes,
  };
}

function createInput(
  jobs: readonly WaitingJob[],
  free: readonly FreeUpstream[],
  nowMs = 0,
): BatchPlanInput {
  return {
    nowMs,
    capacity: {
      concurrency: 1,
      backlog: 2,
      batchSize: 8,
      callMs: 150,
      pieceMs: 10,
      resultBytes: 1000,
      resultTtlMs: 4000,
    },
    jobs,
    free,
    domainsInUse: new Set(free.map(({failureDomain}) => failureDomain)),
    upstreamsInUse: free.length,
    hasNormalSpeedUpstream: free.some(({slowness}) => slowness < 2),
  };
}

test('pieces of several requests share a call', () => {
  const jobs = [createJob('x', {pieceCount: 3}), createJob('y')];
  assert.deepEqual(assembleBatches(createInput(jobs, [createUpstream('u')])), [
    {
      upstreamId: 'u',
      parts: [
        {jobId: 'x', pieceCount: 3},
        {jobId: 'y', pieceCount: 1},
      ],
    },
  ]);
});

test('waiting work is spread over the free upstreams', () => {
  const jobs = [
    createJob('x', {pieceCount: 4}),
    createJob('y', {pieceCount: 4}),
  ];
  const free = [createUpstream('u'), createUpstream('v')];
  assert.deepEqual(assembleBatches(createInput(jobs, free)), [
    {upstreamId: 'u', parts: [{jobId: 'x', pieceCount: 4}]},
    {upstreamId: 'v', parts: [{jobId: 'y', pieceCount: 4}]},
  ]);
});

test('a late job is ranked after one that can be in time', () => {
  const jobs = [
    createJob('late', {dueAtMs: 100, pieceCount: 8}),
    createJob('in-time', {dueAtMs: 900, pieceCount: 8}),
  ];
  const [batch] = assembleBatches(createInput(jobs, [createUpstream('u')]));
  assert.equal(batch.parts[0].jobId, 'in-time');
});

test('jobs that can be in time go before late jobs, and late jobs with inputs before those without', () => {
  const late = createJob('late', {dueAtMs: 100, hasInputs: true});
  const fresh = createJob('fresh', {dueAtMs: 1000});
  const next = createJob('next', {dueAtMs: 9000, priority: 9});
  const begun = createJob('begun', {dueAtMs: 200, hasInputs: true});
  const waiting = createJob('waiting', {dueAtMs: 50});
  const getFirstId = (jobs: WaitingJob[]) => {
    const capacity = {...createInput([], []).capacity, batchSize: 1};
    const input = createInput(jobs, [createUpstream('u')], 200);
    return assembleBatches({...input, capacity})[0].parts[0].jobId;
  };
  assert.equal(getFirstId([late, fresh]), 'fresh');
  assert.equal(getFirstId([late, next]), 'next');
  assert.equal(getFirstId([waiting, begun]), 'begun');
  assert.equal(getFirstId([begun, late]), 'late');
});

test('a more urgent job goes before one that is due a little earlier', () => {
  const jobs = [
    createJob('less', {dueAtMs: 900, priority: 2, pieceCount: 8}),
    createJob('more', {dueAtMs: 1000, priority: 0, pieceCount: 8}),
  ];
  const [batch] = assembleBatches(createInput(jobs, [createUpstream('u')]));
  assert.equal(batch.parts[0].jobId, 'more');
});

test('jobs are split only while more pieces wait than fit in the calls', () => {
  const jobs = [
    createJob('x', {pieceCount: 6}),
    createJob('y', {pieceCount: 6, dueAtMs: 1001}),
  ];
  assert.deepEqual(assembleBatches(createInput(jobs, [createUpstream('u')])), [
    {
      upstreamId: 'u',
      parts: [
        {jobId: 'x', pieceCount: 6},
        {jobId: 'y', pieceCount: 2},
      ],
    },
  ]);
  const two = [createUpstream('u'), createUpstream('v')];
  assert.deepEqual(
    assembleBatches(createInput(jobs, two)).map(({parts}) => parts.length),
    [1, 1],
  );
});

test('no call is planned whose results would exceed the free memory', () => {
  const jobs = [createJob('x', {pieceCount: 3, resultBytes: 400})];
  const [batch] = assembleBatches(createInput(jobs, [createUpstream('u')]));
  assert.deepEqual(batch.parts, [{jobId: 'x', pieceCount: 2}]);
  const full = [createUpstream('u', {freeBytes: 399})];
  assert.deepEqual(assembleBatches(createInput(jobs, full)), []);
});

test('a job waits a limited time for an upstream in the failure domain of its large inputs', () => {
  const jobs = [createJob('x', {failureDomain: 'b', crossingBytes: 5_000_000})];
  const free = [createUpstream('u', {failureDomain: 'a'})];
  const input = {...createInput(jobs, free), domainsInUse: new Set(['a', 'b'])};
  assert.deepEqual(assembleBatches(input), []);
  assert.equal(assembleBatches({...input, nowMs: 400}).length, 1);
  const none = {...input, domainsInUse: new Set(['a'])};
  assert.equal(assembleBatches(none).length, 1);
});

test('a job with almost no spare time takes a free upstream in any failure domain', () => {
  // 150 ms per call and 10 ms per piece.
  const remote = {failureDomain: 'b', crossingBytes: 5_000_000};
  const tight = createJob('tight', {...remote, dueAtMs: 175});
  const patient = createJob('patient', {...remote, dueAtMs: 900});
  const free = [createUpstream('u', {failureDomain: 'a'})];
  const input = {
    ...createInput([tight, patient], free, 10),
    domainsInUse: new Set(['a', 'b']),
  };
  const [batch] = assembleBatches(input);
  assert.deepEqual(
    batch.parts.map(({jobId}) => jobId),
    ['tight'],
  );
});

test('a call is filled with jobs of other failure domains while at least a full batch waits', () => {
  const remote = {failureDomain: 'b', crossingBytes: 5_000_000, pieceCount: 4};
  const jobs = [
    createJob('far-1', remote),
    createJob('far-2', remote),
    createJob('near', {pieceCount: 2, failureDomain: 'a', dueAtMs: 2000}),
  ];
  const free = [createUpstream('u', {failureDomain: 'a'})];
  const input = {
    ...createInput(jobs, free),
    domainsInUse: new Set(['a', 'b']),
  };
  const listParts = (batchSize: number, nowMs: number) =>
    assembleBatches({
      ...input,
      nowMs,
      capacity: {...input.capacity, batchSize},
    })[0].parts.map(({jobId, pieceCount}) => `${jobId} ${pieceCount}`);
  assert.deepEqual(listParts(20, 100), ['near 2']);
  assert.deepEqual(listParts(10, 50), ['near 2'], 'remote jobs waited briefly');
  assert.deepEqual(listParts(10, 100), ['near 2', 'far-1 4', 'far-2 4']);
});

test('a slow upstream is not used until the others cannot keep up', () => {
  const jobs = [createJob('x')];
  const free = [createUpstream('u', {slowness: 4})];
  const input = {...createInput(jobs, free), upstreamsInUse: 3};
  assert.deepEqual(assembleBatches(input), []);
  assert.equal(assembleBatches({...input, nowMs: 300}).length, 1);
});

test('a job that would be late on a slow upstream waits for one of normal speed', () => {
  const slow = createUpstream('slow', {slowness: 4});
  const pressing = createJob('pressing', {dueAtMs: 400, queuedAtMs: -500});
  const patient = createJob('patient', {dueAtMs: 3000, queuedAtMs: -500});
  const missed = createJob('missed', {dueAtMs: 100, queuedAtMs: -500});
  const input = {
    ...createInput([pressing, patient, missed], [slow]),
    upstreamsInUse: 2,
    hasNormalSpeedUpstream: true,
  };
  const [batch] = assembleBatches(input);
  assert.deepEqual(
    batch.parts.map(({jobId}) => jobId),
    ['patient', 'missed'],
  );
  const [only] = assembleBatches({...input, hasNormalSpeedUpstream: false});
  assert.equal(only.parts.length, 3);
});

test('a job with little spare time shares its call with no more pieces than it can wait for', () => {
  // 150 ms per call and 10 ms per piece: the job ends at 170 alone, at 220 with all jobs.
  const jobs = [
    createJob('tight', {pieceCount: 2, dueAtMs: 185}),
    createJob('short', {pieceCount: 1, dueAtMs: 900}),
    createJob('long', {pieceCount: 4, dueAtMs: 1000}),
  ];
  const [batch] = assembleBatches(createInput(jobs, [createUpstream('u')]));
  assert.deepEqual(
    batch.parts.map(({jobId}) => jobId),
    ['tight', 'short'],
  );
});

test('the reserve of a job is not used up by pieces of other jobs', () => {
  const others = Array.from({length: 4}, (_, index) =>
    createJob(`other-${index}`, {dueAtMs: 2000, queuedAtMs: -300}),
  );
  // 150 ms per call and 10 ms per piece: five pieces end at 200.
  const listIds = (reserveMs: number) =>
    assembleBatches(
      createInput(
        [createJob('tight', {dueAtMs: 205, reserveMs}), ...others],
        [createUpstream('u')],
      ),
    )[0].parts.map(({jobId}) => jobId);
  assert.equal(listIds(0).length, 5);
  assert.deepEqual(listIds(30), ['tight', 'other-0']);
  assert.deepEqual(listIds(60), ['tight']);
});

test('a late job, or more waiting work than fits in the calls, does not limit the size of calls', () => {
  const late = createJob('late', {pieceCount: 2, dueAtMs: 100});
  const next = createJob('next', {pieceCount: 4, dueAtMs: 1000});
  const free = [createUpstream('u')];
  const [whole] = assembleBatches(createInput([late, next], free));
  assert.equal(whole.parts.length, 2);
  const tight = createJob('tight', {pieceCount: 2, dueAtMs: 175});
  const crowd = createJob('crowd', {pieceCount: 20, dueAtMs: 1000});
  const [full] = assembleBatches(createInput([tight, crowd], free));
  const pieces = full.parts.reduce((sum, part) => sum + part.pieceCount, 0);
  assert.equal(pieces, 8);
});
