import type {GrantRequest} from '@hollowstack/types';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SendQueue, type SettledRequest} from './send-queue.ts';

const WINDOW_MS = 4000;
const getMiddle = () => 0.5;

function createRequest(fields: Partial<GrantRequest> = {}): GrantRequest {
  return {
    service: 'chat',
    upstreamIds: ['u1'],
    priority: 1,
    workspace: 'w1',
    isReturning: false,
    maxWaitMs: 0,
    ...fields,
  };
}

function createQueue(limits: Record<string, number | undefined>) {
  return new SendQueue({getLimit: id => limits[id], random: getMiddle});
}

/** Runs a queue in steps of 1 ms; `listRequests` returns the requests of each step. */
function runQueue(
  queue: SendQueue,
  durationMs: number,
  listRequests: (nowMs: number) => GrantRequest[],
) {
  const added = new Map<number, {request: GrantRequest; atMs: number}>();
  const settled: Array<
    SettledRequest & {request: GrantRequest; tookMs: number; atMs: number}
  > = [];
  for (let atMs = 0; atMs < durationMs; atMs++) {
    for (const request of listRequests(atMs)) {
      added.set(queue.addRequest(request, atMs), {request, atMs});
    }
    for (const each of queue.settle(atMs)) {
      const {request, atMs: addedAtMs} = added.get(each.id)!;
      settled.push({...each, request, atMs, tookMs: atMs - addedAtMs});
    }
  }
  const granted = settled.filter(({decision}) => decision.upstreamId);
  const refused = settled.filter(({decision}) => !decision.upstreamId);
  return {granted, refused};
}

function countPeak(timesMs: readonly number[]): number {
  const counts = timesMs.map(
    fromMs =>
      timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length,
  );
  return Math.max(0, ...counts);
}

test('grants in any four seconds stay within the limit and use over 0.7 of it under load', () => {
  fc.assert(
    fc.property(
      fc.double({min: 0.5, max: 60, noNaN: true}),
      fc.integer({min: 0, max: 300}),
      fc.integer({min: 1, max: 40}),
      (limit, maxWaitMs, intervalMs) => {
        const queue = createQueue({u1: limit});
        const {granted} = runQueue(queue, 3 * WINDOW_MS, nowMs =>
          nowMs % intervalMs === 0 ? [createRequest({maxWaitMs})] : [],
        );
        const most = countPeak(granted.map(({atMs}) => atMs));
        assert.ok(most <= limit * (WINDOW_MS / 1000) + 1, `${most}`);
        const offered = 1000 / intervalMs;
        const wanted = 0.7 * Math.min(limit, offered);
        const perSecond = granted.length / (3 * (WINDOW_MS / 1000));
        assert.ok(perSecond >= wanted - 0.4, `${perSecond} of ${wanted}`);
      },
    ),
    {numRuns: 30},
  );
});

test('two coordinators at once for two seconds stay within 1.5 times the limit plus five requests', () => {
  for (const limit of [0.5, 1, 5, 50]) {
    const queues = [createQueue({u1: limit}), createQueue({u1: limit})];
    const times: number[] = [];
    queues.forEach((queue, index) => {
      const {granted} = runQueue(queue, 6 * WINDOW_MS, nowMs => {
        const isActive = index === 0 ? nowMs < 13_000 : nowMs >= 11_000;
        return isActive ? [createRequest({maxWaitMs: 100})] : [];
      });
      times.push(...granted.map(({atMs}) => atMs));
    });
    const allowed = 1.5 * limit * (WINDOW_MS / 1000) + 5;
    const most = countPeak(times.sort((left, right) => left - right));
    assert.ok(most <= allowed, `${most} of ${allowed} for ${limit}`);
  }
});

test('a request that cannot be granted before its deadline is refused at once', () => {
  const {refused} = runQueue(createQueue({u1: 2}), 5000, nowMs =>
    nowMs % 100 === 0 ? [createRequest({maxWaitMs: 300})] : [],
  );
  assert.ok(refused.length > 20);
  assert.deepEqual([...new Set(refused.map(({tookMs}) => tookMs))], [0]);
});

test('a more urgent request goes first, and a request that it delays past its deadline is refused at once', () => {
  const queue = createQueue({u1: 2});
  // The first request creates the pacer, which delays the first grant.
  runQueue(queue, 1, () => [createRequest()]);
  const {granted, refused} = runQueue(queue, 1000, nowMs => {
    if (nowMs === 400) return [createRequest({maxWaitMs: 300})];
    if (nowMs === 500) return [createRequest({maxWaitMs: 300, priority: 0})];
    return [];
  });
  assert.equal(granted[0].request.priority, 0);
  assert.deepEqual(
    refused.map(({request, tookMs}) => [request.priority, tookMs]),
    [[1, 100]],
  );
});

test('a workspace gets at least 40 % of the grants beside one that sends twenty times as many requests', () => {
  const {granted} = runQueue(createQueue({u1: 10}), 10_000, nowMs => {
    const requests: GrantRequest[] = [];
    if (nowMs % 10 === 0) requests.push(createRequest({maxWaitMs: 400}));
    if (nowMs % 200 === 0) {
      requests.push(createRequest({workspace: 'w2', maxWaitMs: 400}));
    }
    return requests;
  });
  const smallCount = granted.filter(
    ({request}) => request.workspace === 'w2',
  ).length;
  assert.ok(
    smallCount >= 0.4 * granted.length,
    `${smallCount} of ${granted.length}`,
  );
});

test('retry times of refused callers are spaced at the granted rate', () => {
  const {refused} = runQueue(createQueue({u1: 5}), 1000, nowMs =>
    nowMs === 0 ? Array.from({length: 20}, () => createRequest()) : [],
  );
  const times = refused.map(({decision}) => decision.retryAfterMs);
  const intervals = times.slice(1).map((each, index) => each - times[index]);
  for (const intervalMs of intervals) {
    assert.ok(Math.abs(intervalMs - 250) < 1);
  }
});

test('no retry time is more than ten seconds away', () => {
  const {refused} = runQueue(createQueue({u1: 0}), 100, () => [
    createRequest(),
  ]);
  for (const {decision} of refused) {
    assert.ok(decision.retryAfterMs > 0 && decision.retryAfterMs <= 10_000);
  }
});

test('a request that may go to an unlimited upstream is granted at once', () => {
  const queue = createQueue({u1: 1, u2: undefined});
  const {granted, refused} = runQueue(queue, 100, () => [
    createRequest({upstreamIds: ['u1', 'u2']}),
  ]);
  assert.equal(granted.length, 100);
  assert.equal(refused.length, 0);
});

test('a limit of 0 lets enough requests through to detect its end', () => {
  const {granted} = runQueue(createQueue({u1: 0}), 20_000, nowMs =>
    nowMs % 50 === 0 ? [createRequest()] : [],
  );
  assert.ok(granted.length >= 3 && granted.length <= 5, `${granted.length}`);
});
