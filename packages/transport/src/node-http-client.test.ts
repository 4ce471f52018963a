import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {
  createServer as createNetServer,
  type AddressInfo,
  type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {readBody} from './http-exchange.ts';
import {NodeHttpClient} from './node-http-client.ts';

const TIMEOUT_MS = 200;

/** A server whose open connections can stop answering while new ones work. */
async function startServer(t: TestContext) {
  const unresponsiveSockets = new Set<Socket>();
  const openSockets = new Set<Socket>();
  const server = createServer((incoming, outgoing) => {
    if (unresponsiveSockets.has(incoming.socket)) return;
    // Long enough that concurrent calls need separate connections.
    setTimeout(() => outgoing.end('answer'), 20);
  });
  server.on('connection', socket => openSockets.add(socket));
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const client = new NodeHttpClient();
  t.after(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = async () => {
    const answer = await client.send(address, {
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await readBody(answer.body);
    return answer.status;
  };
  const silenceConnections = () =>
    openSockets.forEach(socket => unresponsiveSockets.add(socket));
  return {call, silenceConnections, countOpened: () => openSockets.size};
}

test('successive calls reuse one connection', async t => {
  const {call, countOpened} = await startServer(t);
  for (let round = 0; round < 3; round++) await call();
  assert.equal(countOpened(), 1);
});

test('after an idle connection stops answering, no other idle one is reused', async t => {
  const {call, silenceConnections} = await startServer(t);
  await Promise.all([call(), call(), call()]);
  silenceConnections();
  await assert.rejects(call());
  assert.equal(await call(), 200);
});

const ENDLESS_ANSWERS = [
  ['interim answers', '', 'HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n'],
  ['empty lines', '', '\r\n'],
  [
    'chunks of one byte',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    '1\r\nx\r\n',
  ],
] as const;

for (const [name, start, repeated] of ENDLESS_ANSWERS) {
  test(`an answer that never ends is not read until the caller gives up (${name})`, async t => {
    const bytes = repeated.repeat(Math.floor((64 * 1024) / repeated.length));
    const server = createNetServer(socket => {
      const write = () => {
        if (!socket.destroyed) socket.write(bytes, () => setImmediate(write));
      };
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(start);
        write();
      });
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const client = new NodeHttpClient();
    t.after(() => {
      client.close();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    const giveUp = new AbortController();
    const read = async () => {
      const {body} = await client.send(`127.0.0.1:${port}`, {
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        signal: giveUp.signal,
      });
      await readBody(body);
    };
    const timer = setTimeout(() => giveUp.abort(), 1000);
    await assert.rejects(read());
    clearTimeout(timer);
    assert.equal(giveUp.signal.aborted, false);
  });
}
