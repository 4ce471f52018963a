import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceTimes, type CallShare} from './index.ts';

const CONFIGURED_MS = 20;

function createShares(counts: Readonly<Record<string, number>>): CallShare[] {
  return Object.entries(counts).map(([stageKey, itemCount]) => ({
    stageKey,
    itemCount,
    configuredMs: CONFIGURED_MS,
  }));
}

test('an item takes what the configuration says until calls were seen', () => {
  const times = new ServiceTimes();
  assert.equal(times.computeItemsMs(createShares({large: 2, small: 3})), 100);
});

test('stages that share a service are learnt apart, also from mixed calls', () => {
  const times = new ServiceTimes();
  const truth: Record<string, number> = {large: 24, small: 7};
  for (let call = 0; call < 200; call++) {
    const shares = createShares({large: call % 4, small: (call * 3) % 5});
    const tookMs = shares.reduce(
      (sum, {stageKey, itemCount}) => sum + truth[stageKey] * itemCount,
      0,
    );
    times.recordCall(shares, tookMs);
  }
  for (const [stageKey, itemMs] of Object.entries(truth)) {
    const learntMs = times.getItemMs(stageKey, CONFIGURED_MS);
    assert.ok(Math.abs(learntMs - itemMs) < 0.5, `${stageKey}: ${learntMs}`);
  }
});

test('what is learnt stays within bounds of the configured time', () => {
  const times = new ServiceTimes();
  const shares = createShares({odd: 1});
  for (let call = 0; call < 100; call++) times.recordCall(shares, 0);
  assert.equal(times.getItemMs('odd', CONFIGURED_MS), 2);
  for (let call = 0; call < 100; call++) times.recordCall(shares, 10_000);
  assert.equal(times.getItemMs('odd', CONFIGURED_MS), 60);
});
