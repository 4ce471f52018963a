import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {DEFAULT_HEALTH_POLICY} from '@hollowstack/routing';
import type {LoadReport} from '@hollowstack/types';
import {UpstreamGroup} from './upstream-group.ts';

const WORK = {
  classKey: 'chat',
  units: 1,
  model: undefined,
  prompt: undefined,
};

function createGroup() {
  const clock = new ManualClock();
  const upstream = {
    id: 'u1',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    checksFence: false,
  };
  const group = new UpstreamGroup(
    {
      name: 'pool',
      upstreams: [upstream],
      slots: 4,
      expectedMs: 100,
      silenceMs: 1000,
    },
    1,
    clock,
    new SilentEventLogger(),
    {healthPolicy: DEFAULT_HEALTH_POLICY, adaptLimits: false},
  );
  const report = () => {
    const live: LoadReport = {
      running: 0,
      queued: 0,
      state: 'live',
      atMs: clock.getNow(),
    } as LoadReport;
    group.recordReport('u1', live);
  };
  const isCandidate = () => group.listCandidates(WORK, new Set()).length > 0;
  return {clock, group, report, isCandidate};
}

test('an upstream that names a back-off gets no work until the back-off ends, even if it reports that it is live', async () => {
  const {clock, group, report, isCandidate} = createGroup();
  group.recordDispatch('u1');
  group.recordNotRun('u1', 3000);
  for (let passedMs = 0; passedMs < 3000; passedMs += 500) {
    assert.equal(isCandidate(), false, `after ${passedMs} ms`);
    await clock.advance(499);
    report();
    await clock.advance(1);
  }
  report();
  assert.equal(isCandidate(), true);
});

test('an upstream that names no back-off is a candidate again after its next fresh report', async () => {
  const {clock, group, report, isCandidate} = createGroup();
  group.recordDispatch('u1');
  group.recordNotRun('u1', 0);
  await clock.advance(600);
  assert.equal(isCandidate(), false);
  report();
  assert.equal(isCandidate(), true);
});
