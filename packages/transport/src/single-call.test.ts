import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {SystemClock} from '@hollowstack/clock';
import {DirectConnector, type ConnectTarget} from './connector.ts';
import {SingleCall} from './single-call.ts';

/** A server that records received bytes and answers each request with 200. */
async function startServer(t: TestContext) {
  let received = '';
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', bytes => {
      received += bytes.toString();
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.after(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {address, getReceived: () => received};
}

function createCall(
  address: string,
  mayStillSend: () => boolean,
  connector = new DirectConnector(new SystemClock()),
): SingleCall {
  return new SingleCall(
    {
      address,
      connectTimeoutMs: 400,
      createRequest: () =>
        mayStillSend()
          ? {
              method: 'POST',
              path: '/x',
              headers: ['Host', 'a.example'],
              body: Buffer.from('body'),
            }
          : undefined,
    },
    {clock: new SystemClock(), connector},
  );
}

test('a call that may still be sent is sent once its connection is established', async t => {
  const {address, getReceived} = await startServer(t);
  const call = createCall(address, () => true);
  const head = await call.response;
  assert.equal(head.statusCode, 200);
  assert.match(getReceived(), /^POST \/x[^]*body$/);
});

test('a call that may no longer be sent when its connection is established sends no byte', async t => {
  const {address, getReceived} = await startServer(t);
  const call = createCall(address, () => false);
  await assert.rejects(call.response, {progress: 'none'});
  assert.equal(call.mayHaveBeenSent(), false);
  await waitMs(50);
  assert.equal(getReceived(), '');
});

/** Settles only once it is released, whether its caller has given up or not. */
class DeafConnector extends DirectConnector {
  private readonly released = Promise.withResolvers<void>();

  override async connect({address, timeoutMs}: ConnectTarget) {
    const connection = await super.connect({address, timeoutMs});
    await this.released.promise;
    return connection;
  }

  release(): void {
    this.released.resolve();
  }
}

test('a call that is cancelled while its connection is being established sends no byte', async t => {
  const {address, getReceived} = await startServer(t);
  const connector = new DeafConnector(new SystemClock());
  let wasAsked = false;
  const mayStillSend = () => (wasAsked = true);
  const call = createCall(address, mayStillSend, connector);
  await waitMs(20);
  call.cancel('the caller has gone');
  connector.release();
  await assert.rejects(call.response, {progress: 'none'});
  assert.equal(wasAsked, false);
  await waitMs(50);
  assert.equal(getReceived(), '');
});
