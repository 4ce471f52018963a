import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ResultReleaser} from './result-releaser.ts';

function createReleaser(getWaitMs: () => number | undefined) {
  const clock = new ManualClock(0);
  const calls: string[] = [];
  const released: string[] = [];
  const releaser = new ResultReleaser({
    clock,
    caller: {
      releaseResults: async (_, handles) => {
        calls.push(`${clock.getNow()}: ${handles.join(' ')}`);
      },
    },
    getWaitMs,
    handleReleased: handles => released.push(...handles),
  });
  const add = (handle: string) =>
    releaser.addResults([{address: 'u', handle, failureDomain: 'a'}]);
  return {clock, calls, released, add};
}

test('results of one upstream are released in one call', async () => {
  const {clock, calls, released, add} = createReleaser(() => 0);
  add('h1');
  await clock.advance(30);
  add('h2');
  await clock.advance(30);
  assert.deepEqual(calls, ['40: h1 h2']);
  assert.deepEqual(released, ['h1', 'h2']);
});

test('releases at an upstream that backs off are sent after the end of the back-off', async () => {
  let untilMs = 1000;
  const {clock, calls, released, add} = createReleaser(() =>
    Math.max(0, untilMs - clock.getNow()),
  );
  add('h1');
  await clock.advance(900);
  add('h2');
  untilMs = 1500;
  await clock.advance(500);
  assert.deepEqual(calls, []);
  assert.deepEqual(released, []);
  await clock.advance(200);
  assert.deepEqual(calls, ['1500: h1 h2']);
  assert.deepEqual(released, ['h1', 'h2']);
});

test('results of a leaving upstream count as released without a call', async () => {
  const {clock, calls, released, add} = createReleaser(() => undefined);
  add('h1');
  await clock.advance(100);
  assert.deepEqual(calls, []);
  assert.deepEqual(released, ['h1']);
});
