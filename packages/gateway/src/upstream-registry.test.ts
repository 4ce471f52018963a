import {ManualClock} from '@hollowstack/clock';
import {EventLogger, type EventName} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {joinEraRevision} from '@hollowstack/store';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EvacuatedDomains} from './evacuated-domains.ts';
import {
  UnreadableEntryError,
  type RequestProtocol,
} from './request-protocol.ts';
import {UpstreamRegistry} from './upstream-registry.ts';

class RecordingLogger extends EventLogger {
  readonly names: EventName[] = [];

  logEvent(name: EventName): void {
    this.names.push(name);
  }
}

const protocol = {
  parseUpstream: (key: string, text: string): RegisteredUpstream => {
    if (text === 'unreadable') throw new UnreadableEntryError('no address');
    const [incarnationText, writeCount] = text.split('*');
    const [name, startedAt] = incarnationText.split('#');
    const [, incarnation] = name.split('@');
    return {
      id: incarnation === undefined ? key : `${key}@${incarnation}`,
      startedAtMs: startedAt === undefined ? undefined : Number(startedAt),
      service: 'plain',
      address: '10.0.0.1:1',
      failureDomain: 'a',
      capacity: 1,
      isLeaving: text.startsWith('leaving'),
      writeCount: writeCount === undefined ? undefined : Number(writeCount),
    };
  },
} as unknown as RequestProtocol;

function createRegistry() {
  const clock = new ManualClock();
  const logger = new RecordingLogger();
  const registry = new UpstreamRegistry(
    protocol,
    logger,
    clock,
    new EvacuatedDomains({protocol, logger, clock}),
  );
  registry.replaceEntries(
    [
      {key: 'a', value: 'ready'},
      {key: 'b', value: 'leaving'},
    ],
    1,
    'store',
  );
  return {clock, logger, registry};
}

test('an entry that expired in an outage stays for the grace period unless it was leaving', async () => {
  const {clock, registry} = createRegistry();
  registry.beginGrace();
  registry.replaceEntries([], 2, 'store');
  assert.deepEqual(
    registry.listUpstreams().map(({id}) => id),
    ['a'],
  );
  assert.equal(registry.createCopy(), undefined);
  await clock.advance(2300);
  assert.deepEqual(registry.listUpstreams(), []);
  assert.deepEqual(registry.createCopy()?.entries, []);
});

test('no timer runs after a stop', async () => {
  const {clock, logger, registry} = createRegistry();
  registry.beginGrace();
  registry.replaceEntries([], 2, 'store');
  registry.stop();
  const countBefore = logger.names.length;
  await clock.advance(5000);
  assert.equal(logger.names.length, countBefore);
});

test('a missing entry that a peer no longer has is removed before the grace period ends', () => {
  const {registry} = createRegistry();
  let missingCallCount = 0;
  registry.addMissingListener(() => (missingCallCount += 1));
  registry.beginGrace();
  registry.endGraceOfMissing('peer 10.0.0.2:1');
  assert.equal(registry.isInGrace(), true);
  registry.replaceEntries([], 2, 'store');
  assert.equal(missingCallCount, 1);
  registry.endGraceOfMissing('peer 10.0.0.2:1');
  assert.deepEqual(registry.listUpstreams(), []);
  assert.equal(registry.isInGrace(), false);
});

test('the copy of a peer ends the grace period, while an older copy changes nothing', () => {
  const {registry} = createRegistry();
  registry.beginGrace();
  registry.replaceEntries([{key: 'b', value: 'leaving'}], 5, 'store');
  registry.applyCopy({storeRevision: 4, entries: []}, 'peer 10.0.0.2:1');
  assert.equal(registry.listUpstreams().length, 2);
  registry.applyCopy(
    {storeRevision: 6, entries: [{key: 'b', value: 'leaving'}]},
    'peer 10.0.0.2:1',
  );
  assert.deepEqual(
    registry.listUpstreams().map(({id}) => id),
    ['b'],
  );
});

test('all changes of one transaction are applied', () => {
  const {registry} = createRegistry();
  registry.applyEvents([
    {type: 'put', key: 'a', value: 'leaving', modRevision: 2},
    {type: 'delete', key: 'b', value: '', modRevision: 2},
  ]);
  assert.deepEqual(
    registry.listUpstreams().map(({id, isLeaving}) => ({id, isLeaving})),
    [{id: 'a', isLeaving: true}],
  );
});

test('an unreadable entry is logged once and names no upstream, while the others stay', () => {
  const {logger, registry} = createRegistry();
  const entries = [
    {key: 'a', value: 'unreadable'},
    {key: 'b', value: 'leaving'},
  ];
  registry.replaceEntries(entries, 2, 'store');
  registry.replaceEntries(entries, 3, 'store');
  const lines = logger.names.filter(name => name === 'upstream.unreadable');
  assert.equal(lines.length, 1);
  assert.deepEqual(
    registry.listUpstreams().map(({id}) => id),
    ['b'],
  );
  registry.applyEvents([
    {type: 'put', key: 'a', value: 'ready', modRevision: 4},
  ]);
  assert.equal(registry.listUpstreams().length, 2);
});

test('a restarted upstream is a new upstream under its key, even after it was leaving', () => {
  const {logger, registry} = createRegistry();
  const listReady = () =>
    registry
      .listUpstreams()
      .filter(({isLeaving}) => !isLeaving)
      .map(({id}) => id);
  const put = (key: string, value: string, modRevision: number) =>
    registry.applyEvents([{type: 'put', key, value, modRevision}]);
  put('a', 'ready@1', 2);
  assert.deepEqual(listReady(), ['a@1']);
  const digest = registry.getDigest();
  put('a', 'leaving@1', 3);
  put('a', 'ready@1', 4);
  assert.deepEqual(listReady(), []);
  put('a', 'ready@2', 5);
  assert.deepEqual(listReady(), ['a@2']);
  assert.equal(logger.names.at(-1), 'upstream.restarted');
  assert.notEqual(registry.getDigest(), digest);
});

test('an upstream that reported that it leaves gets no work in this incarnation, whatever the store or a peer reports', () => {
  const {logger, registry} = createRegistry();
  let reportCount = 0;
  registry.addLeavingReportListener(() => (reportCount += 1));
  const listReady = () =>
    registry
      .listUpstreams()
      .filter(({isLeaving}) => !isLeaving)
      .map(({id}) => id);
  const entries = [{key: 'a', value: 'ready@1'}];
  registry.replaceEntries(entries, 2, 'store');
  const digest = registry.getDigest();
  const origin = {source: 'answer', requestId: 'r1'};
  registry.recordLeaving('a@1', origin);
  registry.recordLeaving('a@1', origin);
  registry.recordLeaving('nobody', origin);
  assert.deepEqual(listReady(), []);
  assert.equal(reportCount, 1);
  assert.deepEqual(registry.listUnregisteredLeaving(), ['a@1']);
  const lines = logger.names.filter(name => name === 'upstream.leaving');
  assert.equal(lines.length, 2, 'one line for b, one for a');

  registry.replaceEntries(entries, 3, 'store');
  registry.applyEvents([{type: 'put', ...entries[0], modRevision: 4}]);
  registry.applyCopy({storeRevision: 4, entries}, 'peer 10.0.0.2:1');
  assert.deepEqual(listReady(), []);
  // Peers without the report have the same registrations.
  assert.equal(registry.getDigest(), digest);

  registry.applyEvents([
    {type: 'put', key: 'a', value: 'leaving@1', modRevision: 5},
  ]);
  assert.deepEqual(
    registry.listUnregisteredLeaving(),
    [],
    'the registration marks it now',
  );
  registry.applyEvents([
    {type: 'put', key: 'a', value: 'ready@2', modRevision: 6},
  ]);
  assert.deepEqual(listReady(), ['a@2']);
});

test('a part of a read that lists an upstream as leaving ends its work before the whole read arrives', () => {
  const {logger, registry} = createRegistry();
  let reportCount = 0;
  registry.addLeavingReportListener(() => (reportCount += 1));
  registry.replaceEntries(
    [
      {key: 'a', value: 'ready@1'},
      {key: 'b', value: 'ready@1'},
    ],
    2,
    'store',
  );
  const part = [
    {key: 'a', value: 'leaving@1'},
    {key: 'unknown', value: 'ready'},
  ];
  registry.applyPartialRead(part, 'store');
  registry.applyPartialRead(part, 'store');
  const listStates = () =>
    registry.listUpstreams().map(({id, isLeaving}) => [id, isLeaving]);
  assert.deepEqual(listStates(), [
    ['a@1', true],
    ['b@1', false],
  ]);
  assert.deepEqual(registry.listUnregisteredLeaving(), ['a@1']);
  assert.equal(reportCount, 1, 'peers are notified once');
  assert.equal(logger.names.at(-1), 'upstream.leaving');
  registry.replaceEntries(part, 3, 'store');
  assert.deepEqual(registry.listUnregisteredLeaving(), []);
  registry.applyEvents([
    {type: 'put', key: 'a', value: 'ready@2', modRevision: 4},
  ]);
  assert.deepEqual(listStates().at(0), ['a@2', false]);
});

test('an upstream that registers after it reported that it leaves gets no work', () => {
  const {registry} = createRegistry();
  registry.recordLeaving('c', {source: 'answer'});
  registry.applyEvents([
    {type: 'put', key: 'c', value: 'ready', modRevision: 2},
  ]);
  const late = registry.listUpstreams().find(({id}) => id === 'c');
  assert.equal(late?.isLeaving, true);
});

test('a full read logs one line, however many upstreams it adds', () => {
  const {logger, registry} = createRegistry();
  logger.names.length = 0;
  const entries = Array.from({length: 140}, (_, index) => ({
    key: `u${index}`,
    value: 'ready',
  }));
  registry.replaceEntries(entries, 2, 'store');
  const lines = logger.names.filter(name => name !== 'upstream.gone');
  assert.deepEqual(lines, ['upstream.read']);
});

test('a new incarnation gets no work if and only if the report of leaving came after its start', async () => {
  for (const isLater of [true, false]) {
    const {clock, registry} = createRegistry();
    const restarts: string[] = [];
    registry.addRestartListener(({previousId, newId}) =>
      restarts.push(`${previousId} ${newId}`),
    );
    const reportLeaving = () => registry.recordLeaving('a', {source: 'answer'});
    if (!isLater) reportLeaving();
    await clock.advance(100);
    const startedAtMs = clock.getNow();
    await clock.advance(100);
    if (isLater) reportLeaving();
    const value = `ready@2#${startedAtMs}`;
    registry.applyEvents([{type: 'put', key: 'a', value, modRevision: 2}]);
    const [upstream] = registry.listUpstreams().filter(({id}) => id === 'a@2');
    assert.equal(upstream.isLeaving, isLater);
    assert.deepEqual(restarts, ['a a@2']);
  }
});

test('a full read applies missed changes and keeps newer watch events', () => {
  const {registry} = createRegistry();
  registry.applyEvents([
    {type: 'put', key: 'c', value: 'ready', modRevision: 9},
    {type: 'delete', key: 'd', value: '', modRevision: 10},
  ]);
  const olderEntries = [
    {key: 'a', value: 'leaving'},
    {key: 'c', value: 'leaving'},
    {key: 'd', value: 'ready'},
  ];
  registry.replaceEntries(olderEntries, 8, 'store');
  assert.deepEqual(
    registry.listUpstreams().map(({id, isLeaving}) => [id, isLeaving]),
    [
      ['a', true],
      ['c', false],
    ],
  );
  assert.equal(registry.getStoreRevision(), 10);
});

const NEXT_ERA_REVISION = joinEraRevision(1, 1);

function listActiveIds(registry: UpstreamRegistry): string[] {
  return registry
    .listUpstreams()
    .filter(({isLeaving}) => !isLeaving)
    .map(({id}) => id);
}

test('a copy made while changes may be missing removes nothing from a peer that has them', () => {
  const {registry} = createRegistry();
  const peer = createRegistry().registry;
  const ready = (key: string) => ({
    type: 'put' as const,
    key,
    value: 'ready',
  });
  peer.applyEvents([{...ready('c'), modRevision: 2}]);
  registry.recordMissedChanges();
  registry.applyEvents([{...ready('d'), modRevision: 3}]);
  assert.equal(registry.getStoreRevision(), 1);
  peer.applyCopy(registry.createCopy()!, 'peer 10.0.0.2:1');
  assert.deepEqual(
    peer.listUpstreams().map(({id}) => id),
    ['a', 'b', 'c'],
  );
  registry.applyCopy(peer.createCopy()!, 'peer 10.0.0.3:1');
  assert.deepEqual(
    registry.listUpstreams().map(({id}) => id),
    ['a', 'b', 'd', 'c'],
  );
});

test('a change before the first full read does not make the registry loaded', () => {
  const clock = new ManualClock();
  const logger = new RecordingLogger();
  const registry = new UpstreamRegistry(
    protocol,
    logger,
    clock,
    new EvacuatedDomains({protocol, logger, clock}),
  );
  registry.applyEvents([
    {type: 'put', key: 'a', value: 'ready', modRevision: 2},
  ]);
  assert.equal(registry.isLoaded(), false);
  registry.replaceEntries([{key: 'a', value: 'ready'}], 1, 'store');
  assert.equal(registry.isLoaded(), true);
});

test('a restored store brings back neither a leaving upstream nor a removed one', async () => {
  const {clock, registry} = createRegistry();
  registry.applyEvents([
    {type: 'put', key: 'c', value: 'ready*3', modRevision: 2},
    {type: 'put', key: 'a', value: 'leaving', modRevision: 3},
    {type: 'delete', key: 'c', value: '', modRevision: 4},
  ]);
  registry.beginGrace();
  const backupEntries = [
    {key: 'a', value: 'ready'},
    {key: 'c', value: 'ready*3'},
  ];
  registry.replaceEntries(backupEntries, NEXT_ERA_REVISION, 'store');
  assert.deepEqual(listActiveIds(registry), []);
  await clock.advance(4000);
  assert.deepEqual(listActiveIds(registry), []);
});

test('a removed upstream in a restored store is listed after a newer write or once its entry has outlived the withholding period', async () => {
  for (const isRewritten of [true, false]) {
    const {clock, registry} = createRegistry();
    registry.applyEvents([
      {type: 'put', key: 'c', value: 'ready*3', modRevision: 2},
      {type: 'delete', key: 'c', value: '', modRevision: 3},
    ]);
    registry.beginGrace();
    const backupEntries = [
      {key: 'a', value: 'leaving'},
      {key: 'c', value: 'ready*3'},
    ];
    registry.replaceEntries(backupEntries, NEXT_ERA_REVISION, 'store');
    assert.deepEqual(listActiveIds(registry), []);
    if (isRewritten) {
      const value = 'ready*4';
      const modRevision = NEXT_ERA_REVISION + 1;
      registry.applyEvents([{type: 'put', key: 'c', value, modRevision}]);
    } else await clock.advance(6000);
    assert.deepEqual(listActiveIds(registry), ['c']);
  }
});

test('a restored store does not bring back an earlier incarnation of an upstream', () => {
  const {registry} = createRegistry();
  registry.applyEvents([
    {type: 'put', key: 'c', value: 'ready@2#200', modRevision: 2},
  ]);
  registry.beginGrace();
  const backupEntries = [
    {key: 'a', value: 'leaving'},
    {key: 'c', value: 'ready@1#100'},
  ];
  registry.replaceEntries(backupEntries, NEXT_ERA_REVISION, 'store');
  assert.deepEqual(listActiveIds(registry), ['c@2']);
});
