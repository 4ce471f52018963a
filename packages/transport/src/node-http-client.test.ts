import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {readBody} from './http-exchange.ts';
import {NodeHttpClient} from './node-http-client.ts';

const TIMEOUT_MS = 200;

/** A server whose open connections can fall silent while new ones work. */
async function startServer(t: TestContext) {
  const silent = new Set<Socket>();
  const open = new Set<Socket>();
  const server = createServer((incoming, outgoing) => {
    if (silent.has(incoming.socket)) return;
    // Long enough that calls made together need a connection each.
    setTimeout(() => outgoing.end('answer'), 20);
  });
  server.on('connection', socket => open.add(socket));
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
  const silenceConnections = () => open.forEach(socket => silent.add(socket));
  return {call, silenceConnections, countOpened: () => open.size};
}

test('connections are kept for the calls that follow', async t => {
  const {call, countOpened} = await startServer(t);
  for (let round = 0; round < 3; round++) await call();
  assert.equal(countOpened(), 1);
});

test('after a kept connection fell silent, no other kept one is trusted', async t => {
  const {call, silenceConnections} = await startServer(t);
  await Promise.all([call(), call(), call()]);
  silenceConnections();
  await assert.rejects(call());
  assert.equal(await call(), 200);
});
