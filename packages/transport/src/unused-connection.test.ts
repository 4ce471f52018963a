import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {SystemClock} from '@hollowstack/clock';
import {Connector, type Connection} from './connector.ts';
import {UnusedConnectionError} from './http-exchange.ts';
import {SingleCall} from './single-call.ts';

class ClosingConnector extends Connector {
  async connect(): Promise<Connection> {
    const stream = new PassThrough();
    setImmediate(() => stream.destroy());
    return {stream, via: undefined};
  }

  isPathLost(): boolean {
    return false;
  }

  hasOutage(): boolean {
    return false;
  }
}

test('a call whose connection closes before it is used was not sent', async () => {
  let wasCreated = false;
  const call = new SingleCall(
    {
      address: '127.0.0.1:1',
      connectTimeoutMs: 400,
      createRequest: () => {
        wasCreated = true;
        return undefined;
      },
    },
    {clock: new SystemClock(), connector: new ClosingConnector()},
  );
  await assert.rejects(call.response, UnusedConnectionError);
  assert.equal(call.mayHaveBeenSent(), false);
  assert.equal(wasCreated, false);
});
