import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceTimes, type CallShare} from './index.ts';

const SERVICE = 's';
const CONFIGURED_MS = 20;
const CONFIGURED_CALL_MS = 100;
const TRUE_CALL_MS = 112;
const BATCH_SIZE = 5;

function createShares(counts: Readonly<Record<string, number>>): CallShare[] {
  return Object.entries(counts).map(([stageKey, pieceCount]) => ({
    stageKey,
    pieceCount,
    configuredMs: CONFIGURED_MS,
  }));
}

function recordCall(
  times: ServiceTimes,
  shares: readonly CallShare[],
  tookMs: number,
): void {
  const callMs = times.getCallMs(SERVICE, CONFIGURED_CALL_MS);
  const expectedMs = callMs + times.computePiecesMs(shares);
  times.recordCall({
    service: SERVICE,
    batchSize: BATCH_SIZE,
    shares,
    expectedMs,
    tookMs,
  });
}

test('the duration of a piece is the configured one until calls are recorded', () => {
  const times = new ServiceTimes();
  assert.equal(times.computePiecesMs(createShares({large: 2, small: 3})), 100);
});

test('the durations of stages that share a service, and the fixed duration of calls, are learned from mixed calls', () => {
  const times = new ServiceTimes();
  const truth: Record<string, number> = {large: 24, small: 7};
  for (let call = 0; call < 200; call++) {
    const shares = createShares({large: call % 4, small: (call * 3) % 5});
    const piecesMs = shares.reduce(
      (sum, {stageKey, pieceCount}) => sum + truth[stageKey] * pieceCount,
      0,
    );
    recordCall(times, shares, TRUE_CALL_MS + piecesMs);
  }
  for (const [stageKey, pieceMs] of Object.entries(truth)) {
    const learnedMs = times.getPieceMs(stageKey, CONFIGURED_MS);
    assert.ok(Math.abs(learnedMs - pieceMs) < 0.5, `${stageKey}: ${learnedMs}`);
  }
  const callMs = times.getCallMs(SERVICE, CONFIGURED_CALL_MS);
  assert.ok(Math.abs(callMs - TRUE_CALL_MS) < 1, `${callMs}`);
});

test('the learned duration of a piece stays within bounds around the configured one', () => {
  const times = new ServiceTimes();
  const shares = createShares({odd: 1});
  for (let call = 0; call < 100; call++) recordCall(times, shares, 0);
  assert.equal(times.getPieceMs('odd', CONFIGURED_MS), 2);
  for (let call = 0; call < 100; call++) recordCall(times, shares, 10_000);
  assert.equal(times.getPieceMs('odd', CONFIGURED_MS), 60);
});
