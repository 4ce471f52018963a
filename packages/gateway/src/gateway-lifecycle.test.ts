import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {GatewayLifecycle} from './gateway-lifecycle.ts';

test('a request that arrives during the start waits until the gateway is ready, up to a limit', async () => {
  const clock = new ManualClock();
  const lifecycle = new GatewayLifecycle();
  const ended: string[] = [];
  const wait = async (name: string, limitMs: number) => {
    await lifecycle.waitForStart(clock, limitMs);
    ended.push(name);
  };
  void wait('none', 0);
  void wait('short', 100);
  void wait('long', 800);
  await clock.advance(99);
  assert.deepEqual(ended, ['none']);
  await clock.advance(1);
  assert.deepEqual(ended, ['none', 'short']);
  lifecycle.setState('ready');
  await clock.advance(0);
  assert.deepEqual(ended, ['none', 'short', 'long']);
  void wait('late', 800);
  await clock.advance(0);
  assert.equal(ended.at(-1), 'late');
});
