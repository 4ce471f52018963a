import assert from 'node:assert/strict';
import {request as startRequest} from 'node:http';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {
  LocalSystem,
  LoopbackNetwork,
  createSeededRandom,
  type SystemCaller,
} from '@hollowstack/local-system';
import {NodeHttpServer} from '@hollowstack/transport';

const CHAT = '/v1/workspaces/lima-centro/pipelines/chat';
const LIMITS = {bodyBytes: 2000, headerBytes: 2000, receiveMs: 400};

const system = new LocalSystem(new LoopbackNetwork(), {
  instances: 1,
  encoders: 1,
  retrievers: 1,
  rerankers: 1,
  engines: 1,
  bookings: 1,
  random: createSeededRandom(1),
});
const server = new NodeHttpServer(
  request => system.instances[0].daemon.handle(request),
  LIMITS,
);
let port = 0;
let caller: SystemCaller;

before(async () => {
  await system.start();
  await system.publish();
  await system.waitUntilReady();
  caller = system.createCaller(system.instances[0]);
  port = Number((await server.listen('127.0.0.1', 0)).split(':')[1]);
});
after(async () => {
  server.closeAllConnections();
  await system.stop();
});

interface RawAnswer {
  readonly status: number;
  readonly kind: string | undefined;
}

function sendPost(body: string, headers: object = {}): Promise<RawAnswer> {
  return new Promise((resolve, reject) => {
    const outgoing = startRequest(
      {port, path: CHAT, method: 'POST', headers: {...headers}},
      incoming => {
        let text = '';
        incoming.on('data', chunk => (text += chunk));
        incoming.on('end', () => {
          const problem = text.startsWith('{') ? JSON.parse(text) : {};
          resolve({status: incoming.statusCode ?? 0, kind: problem.kind});
        });
      },
    );
    outgoing.once('error', reject);
    outgoing.end(body);
  });
}

function sendSlowly(text: string): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let answer = '';
    socket.on('data', chunk => (answer += chunk));
    socket.on('error', () => {});
    socket.once('close', () => resolve(answer));
  });
}

test('a body over the limit is answered 413 with a problem', async () => {
  const answer = await sendPost(JSON.stringify({input: 'x'.repeat(5000)}));
  assert.deepEqual(answer, {status: 413, kind: 'payload-too-large'});
});

test('a head over the limit is answered 431', async () => {
  const answer = await sendPost('{}', {'x-large': 'x'.repeat(5000)});
  assert.equal(answer.status, 431);
});

test('a caller that sends too slowly is answered 408 and disconnected', async () => {
  const answer = await sendSlowly(
    `POST ${CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"in`,
  );
  assert.match(answer, /^HTTP\/1\.1 408 /);
});

test('invalid input is answered 400 with the kind bad-request', async t => {
  const bodies = {
    malformed: '{"input": ',
    'wrong type': '{"input": 7}',
    missing: '{}',
    'nested deeply': '['.repeat(40) + ']'.repeat(40),
  };
  const answers: Record<string, RawAnswer> = {};
  for (const [name, body] of Object.entries(bodies)) {
    answers[name] = await sendPost(body);
  }
  t.assert.snapshot(answers);
});

test('each refusal states its kind, whether the request ran, its cause and an action', async t => {
  const answers = [
    await caller.runPipeline('nobody', 'chat', 'x'),
    await caller.runPipeline('lima-centro', 'nothing', 'x'),
    await caller.runPipeline('lima-centro', 'chat', 'x', {
      'hollowstack-deadline-ms': 'soon',
    }),
    await caller.send('GET', '/v1/operator/status'),
    await caller.send('GET', '/nowhere'),
    await caller.send('GET', '/%zz'),
  ];
  t.assert.snapshot(
    answers.map(({status, problem, headers}) => ({
      status,
      kind: problem?.kind,
      ran: problem?.ran,
      detail: problem?.detail,
      action: problem?.action,
      hasRequestId: headers['hollowstack-request-id'] !== undefined,
    })),
  );
});

test('a request whose caller disconnects is cancelled at the upstream', async () => {
  const controller = new AbortController();
  const path = '/v1/workspaces/lima-centro/pipelines/summary';
  const sending = caller.send(
    'POST',
    path,
    {input: 'long'},
    {},
    controller.signal,
  );
  const [engine] = system.engines;
  const isRunning = () =>
    engine.standIn.workLog
      .listRecords()
      .some(({outcome}) => outcome === 'running');
  while (!isRunning()) await new Promise(resolve => setTimeout(resolve, 2));
  controller.abort(new Error('gone'));
  await assert.rejects(sending);
  while (isRunning()) await new Promise(resolve => setTimeout(resolve, 2));
  const last = engine.standIn.workLog.listRecords().at(-1);
  assert.equal(last?.outcome, 'cancelled');
});
