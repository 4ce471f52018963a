import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
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
