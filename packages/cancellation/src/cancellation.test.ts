import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {
  addAbortHandler,
  addCloseHandler,
  rejectOnAbort,
  waitForDrain,
} from './index.ts';

test('a handler that is added after the abort is called at once, with the reason', () => {
  const reasons: unknown[] = [];
  const remove = addAbortHandler(AbortSignal.abort('gone'), reason =>
    reasons.push(reason),
  );
  remove();
  assert.deepEqual(reasons, ['gone']);
});

test('a handler is called once when the signal aborts, unless it was removed', () => {
  const controller = new AbortController();
  const calls: string[] = [];
  addAbortHandler(controller.signal, () => calls.push('kept'));
  addAbortHandler(controller.signal, () => calls.push('removed'))();
  controller.abort('gone');
  controller.abort('again');
  assert.deepEqual(calls, ['kept']);
  addAbortHandler(undefined, () => calls.push('never'))();
  assert.deepEqual(calls, ['kept']);
});

test('a wait ends with the signal, also if it began after the abort', async () => {
  const forever = new Promise<void>(() => {});
  await assert.rejects(
    rejectOnAbort(forever, AbortSignal.abort(new Error('gone'))),
    /gone/,
  );
  const controller = new AbortController();
  const waiting = rejectOnAbort(forever, controller.signal);
  controller.abort(new Error('gone later'));
  await assert.rejects(waiting, /gone later/);
  const done = rejectOnAbort(Promise.resolve(3), new AbortController().signal);
  assert.equal(await done, 3);
});

test('the close of a stream is seen whether it came before the handler or after it', async () => {
  const calls: string[] = [];
  const early = new PassThrough();
  early.destroy();
  addCloseHandler(early, () => calls.push('early'));
  assert.deepEqual(calls, ['early']);
  const late = new PassThrough();
  addCloseHandler(late, () => calls.push('removed'))();
  const closed = new Promise<void>(resolve => addCloseHandler(late, resolve));
  late.destroy();
  await closed;
  assert.deepEqual(calls, ['early']);
});

test('a writer does not wait for a stream that is closed already', async () => {
  const stream = new PassThrough();
  stream.destroy();
  await waitForDrain(stream);
  const full = new PassThrough({highWaterMark: 1});
  full.write('ab');
  const drained = waitForDrain(full);
  full.resume();
  await drained;
});
