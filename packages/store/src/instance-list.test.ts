import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {InstanceList, getInstanceKey} from './instance-list.ts';
import type {KeyValueStore, RangeResult} from './key-value-store.ts';

const GROUP = 'engines';

function createRecord(id: string): string {
  return JSON.stringify({
    id,
    address: '10.0.0.1:1',
    failureDomain: 'a',
    state: 'live',
  });
}

/** Creates a list whose full reads are answered by the test. */
function createList() {
  const pendingReads: Array<(reading: RangeResult) => void> = [];
  const store = {
    readRange: () => new Promise(resolve => pendingReads.push(resolve)),
  } as unknown as KeyValueStore;
  const list = new InstanceList(store, new ManualClock(), getHalf);
  const answer = (storeRevision: number, ids: readonly string[]) => {
    const keyValues = ids.map(id => ({
      key: getInstanceKey(GROUP, id),
      value: createRecord(id),
      modRevision: 1,
      createRevision: 1,
    }));
    pendingReads.shift()!({storeId: 's', storeRevision, keyValues});
  };
  const listIds = () =>
    list
      .listGroup(GROUP)
      .map(({id}) => id)
      .sort();
  return {list, answer, listIds};
}

function getHalf(): number {
  return 0.5;
}

test('a full read that is answered late does not undo a newer change', async () => {
  const {list, answer, listIds} = createList();
  const first = list.refresh();
  answer(5, ['a', 'b']);
  await first;
  assert.deepEqual(listIds(), ['a', 'b']);
  const late = list.refresh();
  list.handleEvents([
    {
      type: 'delete',
      key: getInstanceKey(GROUP, 'b'),
      value: '',
      modRevision: 8,
    },
    {
      type: 'put',
      key: getInstanceKey(GROUP, 'c'),
      value: createRecord('c'),
      modRevision: 9,
    },
  ]);
  answer(7, ['a', 'b']);
  await late;
  assert.deepEqual(listIds(), ['a', 'c']);
  const next = list.refresh();
  answer(9, ['a']);
  await next;
  assert.deepEqual(listIds(), ['a']);
});
