import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlaceQueue} from './place-queue.ts';

const NEVER = new AbortController().signal;

function createQueue(places: Record<string, number | undefined>) {
  const clock = new ManualClock(0);
  const queue = new PlaceQueue({clock, findPlaces: id => places[id]});
  return {clock, queue};
}

test('requests beyond the places of an upstream wait in order until one ends', async () => {
  const {queue} = createQueue({u1: 2});
  assert.equal(await queue.acquire('u1', NEVER), true);
  assert.equal(await queue.acquire('u1', NEVER), true);
  const begun: string[] = [];
  for (const name of ['third', 'fourth']) {
    void queue.acquire('u1', NEVER).then(() => begun.push(name));
  }
  await Promise.resolve();
  assert.deepEqual(begun, []);
  queue.release('u1');
  await new Promise(setImmediate);
  assert.deepEqual(begun, ['third']);
  queue.release('u1');
  await new Promise(setImmediate);
  assert.deepEqual(begun, ['third', 'fourth']);
});

test('a request gives up its wait for a place after a while and when it is aborted', async () => {
  const {clock, queue} = createQueue({u1: 1});
  assert.equal(await queue.acquire('u1', NEVER), true);
  const controller = new AbortController();
  const aborted = queue.acquire('u1', controller.signal);
  controller.abort();
  assert.equal(await aborted, false);
  const late = queue.acquire('u1', NEVER);
  await clock.advance(200);
  assert.equal(await late, false);
  queue.release('u1');
  assert.equal(await queue.acquire('u1', NEVER), true);
});

test('an upstream without a bound gets every request, and has a bound once it is brittle', async () => {
  const places: Record<string, number | undefined> = {u1: undefined};
  const {clock, queue} = createQueue(places);
  for (let count = 0; count < 3; count++) {
    assert.equal(await queue.acquire('u1', NEVER), true);
  }
  places['u1'] = 2;
  const waiting = queue.acquire('u1', NEVER);
  await clock.advance(200);
  assert.equal(await waiting, false);
  queue.release('u1');
  queue.release('u1');
  assert.equal(await queue.acquire('u1', NEVER), true);
});

test('a request that was given up before it asks for a place neither waits nor takes one', async () => {
  const {queue} = createQueue({u1: 1});
  const aborted = AbortSignal.abort();
  assert.equal(await queue.acquire('u1', aborted), false);
  assert.equal(await queue.acquire('u1', NEVER), true);
  assert.equal(await queue.acquire('u1', aborted), false);
});
