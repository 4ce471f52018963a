import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createPrefixRange,
  type KeyValue,
  type RangeResult,
  type WatchEvent,
} from '@hollowstack/store';
import {RangeMirror} from './index.ts';

function createMirror(): RangeMirror {
  return new RangeMirror(createPrefixRange('a/'));
}

function createResult(
  storeRevision: number,
  revisions: Readonly<Record<string, number>>,
): RangeResult {
  const keyValues = Object.entries(revisions).map(
    ([key, modRevision]): KeyValue => ({
      key,
      value: `${key}@${modRevision}`,
      modRevision,
      createRevision: modRevision,
    }),
  );
  return {storeId: 's', storeRevision, keyValues};
}

function createPut(key: string, modRevision: number): WatchEvent {
  return {type: 'put', key, value: `${key}@${modRevision}`, modRevision};
}

function createDelete(key: string, modRevision: number): WatchEvent {
  return {type: 'delete', key, value: '', modRevision};
}

function listKeys(mirror: RangeMirror): string[] | undefined {
  return mirror
    .createRangeResult()
    ?.keyValues.map(({key, modRevision}) => `${key}@${modRevision}`)
    .sort();
}

test('changes that arrive before the first full read are applied after it if they are newer', () => {
  const mirror = createMirror();
  assert.equal(mirror.createRangeResult(), undefined);
  assert.equal(mirror.listChanges(0), undefined);
  mirror.applyEvents([createPut('a/1', 4), createPut('a/2', 7)]);
  mirror.applyRangeResult(createResult(5, {'a/1': 4}));
  assert.deepEqual(listKeys(mirror), ['a/1@4', 'a/2@7']);
  assert.deepEqual(mirror.listChanges(5), [createPut('a/2', 7)]);
});

test('changes are listed from any revision after the first full read, each once', () => {
  const mirror = createMirror();
  mirror.applyRangeResult(createResult(5, {'a/1': 4}));
  const events = [createPut('a/2', 7), createDelete('a/1', 9)];
  assert.deepEqual(mirror.applyEvents(events), events);
  assert.deepEqual(mirror.applyEvents(events), []);
  assert.deepEqual(mirror.listChanges(5), events);
  assert.deepEqual(mirror.listChanges(7), [events[1]]);
  assert.deepEqual(mirror.listChanges(9), []);
  assert.equal(mirror.listChanges(4), undefined);
  assert.deepEqual(listKeys(mirror), ['a/2@7']);
});

test('all changes of one transaction are applied although they share a revision', () => {
  const mirror = createMirror();
  mirror.applyRangeResult(createResult(5, {}));
  mirror.applyEvents([createPut('a/1', 6), createPut('a/2', 6)]);
  assert.deepEqual(listKeys(mirror), ['a/1@6', 'a/2@6']);
});

test('a newer full read is applied as its differences, an older one is ignored', () => {
  const mirror = createMirror();
  mirror.applyRangeResult(createResult(5, {'a/1': 3, 'a/2': 4}));
  assert.deepEqual(mirror.applyRangeResult(createResult(5, {})), []);
  const newEvents = mirror.applyRangeResult(
    createResult(9, {'a/2': 8, 'a/3': 7}),
  );
  assert.deepEqual(newEvents, [
    createPut('a/3', 7),
    createPut('a/2', 8),
    createDelete('a/1', 9),
  ]);
  assert.deepEqual(mirror.listChanges(5), newEvents);
  assert.deepEqual(listKeys(mirror), ['a/2@8', 'a/3@7']);
});

test('changes are not listed from a revision whose history is no longer retained', () => {
  const mirror = createMirror();
  mirror.applyRangeResult(createResult(1, {}));
  const events = Array.from({length: 1500}, (_, index) =>
    createPut('a/1', index + 2),
  );
  mirror.applyEvents(events);
  assert.equal(mirror.listChanges(1), undefined);
  assert.equal(mirror.listChanges(1400)?.length, 101);
});
