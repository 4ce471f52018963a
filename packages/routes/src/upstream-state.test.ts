import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findUnavailability, type RegisteredUpstream} from './index.ts';

function createUpstream(
  id: string,
  changes: Partial<RegisteredUpstream> = {},
): RegisteredUpstream {
  return {
    id,
    service: 'chat',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    capacity: 1,
    isLeaving: false,
    ...changes,
  };
}

function getNoWait(): number {
  return 0;
}

test('a service with one available upstream is available', () => {
  const upstreams = [
    createUpstream('a', {isLeaving: true}),
    createUpstream('b'),
    createUpstream('c'),
  ];
  const getWaitMs = (id: string) => (id === 'c' ? 0 : 2000);
  assert.equal(findUnavailability('chat', upstreams, getWaitMs), undefined);
});

test('a service is unavailable until the first back-off of its upstreams ends', () => {
  const upstreams = [
    createUpstream('a'),
    createUpstream('b'),
    createUpstream('c', {isLeaving: true}),
  ];
  const getWaitMs = (id: string) => (id === 'a' ? 2500 : 1200);
  assert.deepEqual(findUnavailability('chat', upstreams, getWaitMs), {
    reason:
      'all 2 upstreams of chat that take work have asked for none, the first for another 1.2 s',
    waitMs: 1200,
    retryAfterMs: 1200,
  });
});

test('the wait is unknown if all upstreams are leaving, evacuated or missing', () => {
  const leaving = createUpstream('a', {isLeaving: true});
  const evacuated = createUpstream('b', {isEvacuated: true});
  const getReason = (upstreams: RegisteredUpstream[]) => {
    const unavailability = findUnavailability('chat', upstreams, getNoWait);
    assert.equal(unavailability?.waitMs, undefined);
    assert.ok(unavailability!.retryAfterMs > 0);
    return unavailability!.reason;
  };
  assert.deepEqual(
    [getReason([]), getReason([leaving]), getReason([leaving, evacuated])],
    [
      'no upstream of chat is registered',
      'all upstreams of chat are leaving',
      '1 of 2 upstreams of chat are evacuated, the others are leaving',
    ],
  );
});
