// Guards against closes of callers' connections that nobody notices.
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {CallerPresence, type CallerConnection} from './caller-presence.ts';

class FakeStream extends EventEmitter {
  destroyed = false;
  writableFinished = false;

  close(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

function createPresence() {
  const socket = new FakeStream();
  const outgoing = new FakeStream();
  const parts = {
    clock: new ManualClock(),
    logger: new SilentEventLogger(),
    metrics: new MetricsRegistry(),
  };
  const connection = {incoming: {socket}, outgoing};
  const createOne = () =>
    new CallerPresence(parts, connection as unknown as CallerConnection);
  return {socket, outgoing, createOne};
}

test('a caller has gone if its answer or connection closes, or the connection ends, before the answer is complete', () => {
  const closings = [
    ({outgoing}: ReturnType<typeof createPresence>) => outgoing.close(),
    ({socket}: ReturnType<typeof createPresence>) => socket.close(),
    ({socket}: ReturnType<typeof createPresence>) => socket.emit('end'),
  ];
  for (const close of closings) {
    const system = createPresence();
    const presence = system.createOne();
    assert.equal(presence.signal.aborted, false);
    close(system);
    assert.equal(presence.signal.aborted, true);
  }
});

test('a caller whose connection has closed before the request is handled has gone', () => {
  const {socket, createOne} = createPresence();
  socket.close();
  assert.equal(createOne().signal.aborted, true);
});

test('a caller that has its whole answer has not gone, and a settled request listens to nothing', () => {
  const {socket, outgoing, createOne} = createPresence();
  const presence = createOne();
  outgoing.writableFinished = true;
  outgoing.close();
  assert.equal(presence.signal.aborted, false);
  presence.recordEnd({requestId: 'r1', ran: 'yes', sentTo: []});
  assert.equal(socket.listenerCount('close') + socket.listenerCount('end'), 0);
});
