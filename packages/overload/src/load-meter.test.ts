import {ManualClock} from '@hollowstack/clock';
import {MetricsRegistry} from '@hollowstack/metrics';
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {LoadMeter} from './load-meter.ts';
import {TrafficCounter, type CountedSocket} from './traffic-counter.ts';

const CPU_SHARE = 0.5;

class SocketStub extends EventEmitter implements CountedSocket {
  bytesRead = 0;
  bytesWritten = 0;
}

function startMeter() {
  const clock = new ManualClock();
  const events: Array<[string, unknown]> = [];
  const traffic = new TrafficCounter();
  const usage = {processorMs: 0, idleMs: 0};
  const delays: number[] = [];
  const meter = new LoadMeter({
    clock,
    logger: {logEvent: (name, fields) => events.push([name, fields])},
    metrics: new MetricsRegistry(),
    traffic,
    cpuShare: CPU_SHARE,
    readProcessorMs: () => usage.processorMs,
    readIdleMs: () => usage.idleMs,
    countInProgress: () => 7,
  });
  meter.addListener(delayMs => delays.push(delayMs));
  meter.start();
  return {clock, events, traffic, usage, delays, meter};
}

test('the load is that of the last second', async () => {
  const {clock, traffic, usage, meter} = startMeter();
  const socket = new SocketStub();
  traffic.addSocket(socket);
  await clock.advance(1000);
  usage.processorMs = 250;
  usage.idleMs = 750;
  socket.bytesRead = 4000;
  socket.bytesWritten = 1000;
  await clock.advance(500);
  socket.emit('close');
  await clock.advance(500);
  assert.deepEqual(meter.getState(), {
    delayMs: 0,
    loopUse: 0.25,
    processorUse: 0.5,
    receivedBytesPerSecond: 4000,
    sentBytesPerSecond: 1000,
  });
  await clock.advance(1000);
  assert.equal(meter.getState().processorUse, 0);
  assert.equal(meter.getState().receivedBytesPerSecond, 0);
});

test('an event loop that is never idle is logged once with the load, and again when it is idle', async () => {
  const {clock, events, usage} = startMeter();
  usage.idleMs += 900;
  await clock.advance(1000);
  await clock.advance(3000);
  usage.idleMs += 500;
  await clock.advance(1000);
  const load = {
    delayMs: 0,
    processorUse: 0,
    receivedBytesPerSecond: 0,
    sentBytesPerSecond: 0,
    inProgress: 7,
  };
  assert.deepEqual(events, [
    ['entry.saturated', {loopUse: 1, ...load}],
    ['entry.unsaturated', {loopUse: 0.5, ...load, saturatedForMs: 3000}],
  ]);
});

test('listeners get the delay of each sample', async () => {
  const {clock, delays} = startMeter();
  await clock.advance(250);
  clock.pause(500);
  await clock.advance(0);
  assert.deepEqual(delays, [0, 250]);
});
