import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventSplitter} from './event-splitter.ts';

test('only complete events are returned, with the id of the last one', () => {
  const splitter = new EventSplitter();
  assert.equal(splitter.addBytes(Buffer.from('id: 1\ndata: a\n')), undefined);
  const events = splitter.addBytes(
    Buffer.from('\nid: 2\ndata: b\n\nid: 3\ndata'),
  );
  assert.equal(
    events?.bytes.toString(),
    'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
  );
  assert.equal(events?.lastId, '2');
  assert.equal(splitter.countRestBytes(), 'id: 3\ndata'.length);
  const lastEvent = splitter.addBytes(Buffer.from('\n\n'));
  assert.equal(lastEvent?.bytes.toString(), 'id: 3\ndata\n\n');
});

test('the output does not depend on the chunk size of the input', () => {
  const text = 'id: 7\ndata: x\n\nid: 8\r\ndata: y\r\n\r\ndata: z\n\n';
  for (let size = 1; size <= text.length; size++) {
    const splitter = new EventSplitter();
    let out = '';
    let lastId: string | undefined;
    for (let from = 0; from < text.length; from += size) {
      const events = splitter.addBytes(
        Buffer.from(text.slice(from, from + size)),
      );
      out += events?.bytes.toString() ?? '';
      lastId = events?.lastId ?? lastId;
    }
    assert.equal(out, text);
    assert.equal(lastId, '8');
    assert.equal(splitter.countRestBytes(), 0);
  }
});

test('an event that never ends is rejected after a time that is proportional to its size', () => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from('data: x\n'.repeat(8));
  const count = (1024 * 1024) / chunk.length;
  const startedAtMs = performance.now();
  for (let index = 0; index < count; index++) {
    assert.equal(splitter.addBytes(chunk), undefined);
  }
  assert.throws(() => splitter.addBytes(chunk), {limit: 'event'});
  assert.ok(performance.now() - startedAtMs < 500);
});
