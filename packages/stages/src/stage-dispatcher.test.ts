import {ManualClock, waitFor} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {PeerLink, PeerRecord, PeerRequest} from '@hollowstack/peers';
import type {StageAdmissionRequest, StageJob} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StageDispatcher, type StageDispatcherParts} from './index.ts';
import {getMiddle} from './test-utils/get-middle.ts';

const COORDINATOR: PeerRecord = {
  id: 'c',
  address: '10.0.0.1:1',
  failureDomain: 'a',
};
const REQUEST: StageAdmissionRequest = {
  requestId: 'r',
  route: 'r',
  steps: [],
  requestMs: 100,
  ownTokens: 0,
  dueInMs: 2000,
  remainingMs: 6000,
  priority: 1,
  mayComeBack: true,
};

/** A coordinator that answers no request, and the instance that asks it. */
class UnansweredDispatcher {
  readonly clock = new ManualClock();
  readonly endedIds: string[] = [];
  readonly sent: PeerRequest[] = [];
  readonly dispatcher: StageDispatcher;

  /** @param silenceMs Milliseconds since the last message of the coordinator. */
  constructor(silenceMs: number) {
    const link = {
      sendRequest: async (
        _address: string,
        request: PeerRequest,
        timeoutMs: number,
      ) => {
        this.sent.push(request);
        await waitFor(this.clock, timeoutMs);
        throw new Error('no answer');
      },
      getSilenceMs: () => silenceMs,
      closePeer: () => {},
    } as unknown as PeerLink;
    const membership = {
      getSelf: () => ({...COORDINATOR, id: 'self'}),
      getLiveCount: () => 2,
      recordUnreachable: () => {},
    } as unknown as StageDispatcherParts['membership'];
    const notes = {
      sendNotification: async (
        _address: string,
        {requestId}: {requestId: string},
      ) => void this.endedIds.push(requestId),
    } as unknown as StageDispatcherParts['notes'];
    this.dispatcher = new StageDispatcher({
      clock: this.clock,
      logger: new SilentEventLogger(),
      metrics: new MetricsRegistry(),
      link,
      notes,
      membership,
      planners: {
        listForRequest: () => [COORDINATOR],
        listIds: () => [COORDINATOR.id],
        isPlanner: () => false,
      } as unknown as StageDispatcherParts['planners'],
      local: {} as StageDispatcherParts['local'],
      random: getMiddle,
    });
  }
}

// Guards against a request that a busy coordinator does not answer and that runs all the same.
test('a request that a busy coordinator does not answer in time is rejected and ended there', async () => {
  const {clock, dispatcher, endedIds} = new UnansweredDispatcher(20);
  const startedAtMs = clock.getNow();
  const decision = await clock.advanceUntil(
    dispatcher.admitRequest(REQUEST),
    1000,
  );
  assert.equal(decision.isAdmitted, false);
  assert.ok(decision.retryAfterMs > 0);
  assert.ok(clock.getNow() - startedAtMs <= REQUEST.dueInMs / 8);
  assert.deepEqual(endedIds, ['r']);
});

test('a request that a silent coordinator does not answer is admitted', async () => {
  const {clock, dispatcher} = new UnansweredDispatcher(5000);
  const decision = await clock.advanceUntil(
    dispatcher.admitRequest(REQUEST),
    1000,
  );
  assert.equal(decision.isAdmitted, true);
});

test('most requests are rejected without being sent while a busy coordinator answers none', async () => {
  const {clock, dispatcher, sent} = new UnansweredDispatcher(20);
  for (let count = 0; count < 20; count++) {
    const decision = await clock.advanceUntil(
      dispatcher.admitRequest(REQUEST),
      1000,
    );
    assert.equal(decision.isAdmitted, false);
  }
  assert.ok(sent.length < 10, `${sent.length} sent`);
});

const JOB: StageJob = {
  jobId: 'j',
  requestId: 'r',
  service: 's',
  stage: 0,
  stageKey: 's',
  pieceCount: 1,
  inputs: [],
  resultBytes: 1,
  dueInMs: 2000,
  remainingMs: 6000,
  priority: 1,
  crossingBytes: 0,
};

// Guards against an instance that plans for the upstreams of another one because a peer asks it.
test('an instance that is no planner passes a job on once, and rejects one that was passed on', async () => {
  const {clock, dispatcher, sent} = new UnansweredDispatcher(20);
  const answer = dispatcher.answerJob(JOB);
  const second = await dispatcher.answerJob({...JOB, isForwarded: true});
  assert.equal(second.type, 'failed');
  await clock.advanceUntil(answer, 10_000);
  const jobs = sent.flatMap(each => (each.type === 'stage-job' ? [each] : []));
  assert.deepEqual(
    jobs.map(({job}) => job),
    [{...JOB, isForwarded: true}],
  );
});

// Guards against instances that all plan by themselves while their planner is overloaded.
test('an instance whose planner does not answer fails its job instead of planning it', async () => {
  const {clock, dispatcher} = new UnansweredDispatcher(5000);
  const outcome = await clock.advanceUntil(
    dispatcher.runJob(JOB, new AbortController().signal),
    10_000,
  );
  assert.equal(outcome.type === 'failed' && outcome.failure, 'overloaded');
});
