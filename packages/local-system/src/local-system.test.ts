import {test} from 'node:test';
import assert from 'node:assert/strict';
import {ManualClock} from '@hollowstack/clock';
import {computeChatAnswer} from '@hollowstack/stand-ins';
import {
  LocalSystem,
  LoopbackNetwork,
  MemoryNetwork,
  createSeededRandom,
} from './index.ts';

const SIZE = {
  instances: 2,
  encoders: 2,
  retrievers: 2,
  rerankers: 2,
  engines: 2,
  bookings: 1,
};

interface PipelineAnswer {
  readonly output: {readonly text: string};
  readonly stages: ReadonlyArray<{readonly stage: string}>;
}

test('a chat request passes all four stages over loopback sockets', async t => {
  const system = new LocalSystem(new LoopbackNetwork(), {
    ...SIZE,
    random: createSeededRandom(1),
  });
  t.after(() => system.stop());
  await system.start();
  await system.publish();
  await system.waitUntilReady();
  const caller = system.createCaller(system.instances[1]);
  const unstreamed = await caller.runPipeline(
    'lima-centro',
    'chat',
    'O negative?',
  );
  assert.equal(unstreamed.status, 200, JSON.stringify(unstreamed.body));
  const body = unstreamed.body as PipelineAnswer;
  assert.equal(
    body.output.text,
    computeChatAnswer('assistant', 'O negative?', 24),
  );
  t.assert.snapshot(body.stages.map(({stage}) => stage));
  const streamed = await caller.runStreamedPipeline(
    'muscat-desk',
    'chat',
    'bid status',
  );
  assert.equal(streamed.text, computeChatAnswer('assistant', 'bid status', 24));
  assert.notEqual(streamed.end, undefined);
});

test('daemons serve a request on a manual clock and an in-memory network', async () => {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, {getLatencyMs: () => 0.5});
  const system = new LocalSystem(network, {
    ...SIZE,
    random: createSeededRandom(2),
  });
  await clock.advanceUntil(system.start(), 1000);
  await clock.advanceUntil(system.publish(), 5000);
  await clock.advanceUntil(system.waitUntilReady(), 20_000);
  const caller = system.createCaller(system.instances[1]);
  const answer = await clock.advanceUntil(
    caller.runPipeline('lima-centro', 'chat', 'O negative?'),
    5000,
  );
  assert.equal(answer.status, 200, JSON.stringify(answer.body));
  const body = answer.body as PipelineAnswer;
  assert.equal(
    body.output.text,
    computeChatAnswer('assistant', 'O negative?', 24),
  );
  await system.stop();
});
