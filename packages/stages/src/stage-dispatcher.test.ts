import {ManualClock, waitFor} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {PeerLink, PeerRecord, PeerRequest} from '@hollowstack/peers';
import type {StageAdmissionRequest} from '@hollowstack/types';
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
      getCached: () => COORDINATOR,
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
