import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  DEFAULT_HEALTH_POLICY,
  createHealthyState,
  getSlowStartFactor,
  isCandidate,
  recordFailure,
  recordLeaving,
  recordLiveReport,
  recordSuccess,
  recordTrial,
  type HealthState,
} from './index.ts';

const POLICY = DEFAULT_HEALTH_POLICY;
const AT_MS = 100_000;

function createEjectedState(): HealthState {
  return recordFailure(createHealthyState(), 'refused', POLICY, AT_MS);
}

test('three consecutive failures eject an upstream, and a success in between resets the count', () => {
  let health = createHealthyState();
  for (const step of ['fail', 'fail', 'succeed', 'fail', 'fail']) {
    health =
      step === 'fail'
        ? recordFailure(health, 'broken', POLICY, AT_MS)
        : recordSuccess(health, AT_MS);
  }
  assert.equal(health.state, 'healthy');
  assert.equal(recordFailure(health, 'broken', POLICY, AT_MS).state, 'out');
});

test('a refused connection ejects an upstream at once', () => {
  assert.equal(createEjectedState().state, 'out');
  assert.equal(isCandidate(createEjectedState(), AT_MS), false);
});

test('an answered report does not end an ejection, but one successful trial does', () => {
  const ejected = createEjectedState();
  assert.equal(
    recordLiveReport(ejected, POLICY, AT_MS + 1, AT_MS + 1).state,
    'out',
  );
  const trialAtMs = AT_MS + POLICY.trialDelayMs;
  assert.equal(isCandidate(ejected, trialAtMs), true);
  const trial = recordTrial(ejected);
  assert.equal(isCandidate(trial, trialAtMs), false);
  assert.equal(recordSuccess(trial, trialAtMs).state, 'healthy');
});

test('each failed trial doubles the delay up to its maximum', t => {
  let health = createEjectedState();
  const waits = [health.nextTrialAtMs - AT_MS];
  for (let count = 0; count < 7; count++) {
    health = recordFailure(recordTrial(health), 'broken', POLICY, AT_MS);
    waits.push(health.nextTrialAtMs - AT_MS);
  }
  t.assert.snapshot(waits);
});

test('a leaving upstream becomes a candidate only by a report newer than its leaving report', () => {
  const leaving = recordLeaving(createHealthyState(), AT_MS);
  assert.equal(isCandidate(leaving, AT_MS + 60_000), false);
  const afterOlderReport = recordLiveReport(
    leaving,
    POLICY,
    AT_MS - 2000,
    AT_MS + 100,
  );
  assert.equal(afterOlderReport.state, 'leaving');
  const afterNewerReport = recordLiveReport(
    leaving,
    POLICY,
    AT_MS + 2000,
    AT_MS + 2000,
  );
  assert.equal(isCandidate(afterNewerReport, AT_MS + 2000), true);
});

test('a recovered upstream ramps up to its full share', () => {
  const recovered = recordSuccess(recordTrial(createEjectedState()), AT_MS);
  const factors = [0, 0.5, 1, 2].map(part =>
    getSlowStartFactor(recovered, POLICY, AT_MS + part * POLICY.slowStartMs),
  );
  assert.deepEqual(factors, [0.2, 0.6000000000000001, 1, 1]);
});

test('no sequence of reports makes an ejected upstream healthy without a trial', () => {
  const steps = fc.array(
    fc.constantFrom('live', 'fail', 'refuse', 'leave') as fc.Arbitrary<
      'live' | 'fail' | 'refuse' | 'leave'
    >,
  );
  fc.assert(
    fc.property(steps, sequence => {
      let health = createEjectedState();
      let nowMs = AT_MS;
      for (const step of sequence) {
        nowMs += 1000;
        if (step === 'live')
          health = recordLiveReport(health, POLICY, nowMs, nowMs);
        if (step === 'leave') health = recordLeaving(health, nowMs);
        if (step === 'fail') {
          health = recordFailure(health, 'broken', POLICY, nowMs);
        }
        if (step === 'refuse') {
          health = recordFailure(health, 'refused', POLICY, nowMs);
        }
        assert.notEqual(health.state, 'healthy');
      }
    }),
    {seed: 8, numRuns: 500},
  );
});
