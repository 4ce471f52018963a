import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerStream} from './peer-stream.ts';
import type {Session} from './session.ts';

const SESSION = {sendEnvelope: () => {}} as unknown as Session;

function createStream(): {clock: ManualClock; stream: PeerStream} {
  const clock = new ManualClock();
  return {clock, stream: new PeerStream(SESSION, clock)};
}

// Guards against the stream to a busy peer being closed right after a message from it.
test('a request that times out shortly after another message leaves its stream responsive', async () => {
  const {clock, stream} = createStream();
  const sentAtMs = clock.getNow();
  await clock.advance(900);
  stream.recordContact();
  await clock.advance(100);
  assert.equal(stream.recordTimeout(1, sentAtMs), false);
});

test('a stream on which nothing arrives for 0.6 s after a request is unresponsive', async () => {
  const {clock, stream} = createStream();
  await clock.advance(5000);
  const sentAtMs = clock.getNow();
  await clock.advance(300);
  assert.equal(stream.recordTimeout(1, sentAtMs), false);
  await clock.advance(300);
  assert.equal(stream.recordTimeout(2, clock.getNow()), true);
});
