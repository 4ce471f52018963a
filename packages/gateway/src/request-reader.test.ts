import {MetricsRegistry} from '@hollowstack/metrics';
import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {CallerPresence} from './caller-presence.ts';
import {
  RequestReader,
  type RequestArrival,
  type RequestReaderParts,
} from './request-reader.ts';

const ROUTE = {
  name: 'plain',
  timeoutMs: 1000,
  objectiveMs: 300,
  targets: [{service: 'plain', weight: 1}],
};
const TABLE = {
  revision: 1,
  configuration: {limits: {bodyBytes: 1000}},
  hasWorkspaces: () => false,
  findRoute: (_host: string, path: string) =>
    path === '/known' ? ROUTE : undefined,
};

interface ReaderState {
  isQuarantined: boolean;
  isClosing: boolean;
}

function createReader(state: ReaderState) {
  const refresh = Promise.withResolvers<void>();
  const parts = {
    metrics: new MetricsRegistry(),
    protocol: {headers: {deadlineMs: 'time-left'}},
    routeHolder: {getCurrent: () => TABLE},
    freshnessGuard: {
      isRefreshDue: () => true,
      refresh: () => refresh.promise,
      mayRefuseUnknown: async () => true,
    },
    quarantine: {isQuarantined: () => state.isQuarantined},
    lifecycle: {isClosing: () => state.isClosing},
  };
  const reader = new RequestReader(parts as unknown as RequestReaderParts);
  return {reader, endRefresh: refresh.resolve};
}

function createArrival(path: string): RequestArrival {
  const incoming = {headers: {}, url: path, method: 'GET'};
  return {
    incoming: incoming as unknown as IncomingMessage,
    outgoing: {} as ServerResponse,
    presence: {signal: new AbortController().signal} as CallerPresence,
    requestId: 'r1',
    atMs: 0,
  };
}

async function hasSettledBeforeRefresh(
  state: ReaderState,
  path = '/known',
): Promise<boolean> {
  const {reader, endRefresh} = createReader(state);
  let hasSettled = false;
  const reading = reader
    .readRequest(createArrival(path))
    .finally(() => (hasSettled = true));
  await waitForTurn();
  const hasSettledBefore = hasSettled;
  endRefresh();
  if (path === '/unknown') await assert.rejects(reading, {kind: 'not-found'});
  else assert.equal((await reading).request.facts.requestId, 'r1');
  return hasSettledBefore;
}

test('a request waits for the refresh of a stale view', async () => {
  const state = {isQuarantined: false, isClosing: false};
  assert.equal(await hasSettledBeforeRefresh(state), false);
  assert.equal(await hasSettledBeforeRefresh(state, '/unknown'), false);
});

test('a request that is refused whatever the view shows does not wait for its refresh', async () => {
  const quarantined = {isQuarantined: true, isClosing: false};
  assert.equal(await hasSettledBeforeRefresh(quarantined), true);
  const closing = {isQuarantined: false, isClosing: true};
  assert.equal(await hasSettledBeforeRefresh(closing), true);
});
