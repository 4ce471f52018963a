// Guards against a responsive peer that counts as unresponsive because this process stalled.
import {SystemClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {KeyRing, PeerLink, TcpPeerNetwork} from '@hollowstack/peers';
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {PeerWatch} from './peer-watch.ts';

/** Longer than a ping may take. */
const STALL_MS = 600;
/** Milliseconds for a ping after the stall, on a busy machine. */
const MAX_WAIT_MS = 20_000;

const clock = new SystemClock();
const logger = new SilentEventLogger();

function createLink(t: TestContext, id: string): PeerLink {
  const link = new PeerLink({
    identity: {id, failureDomain: 'a'},
    network: new TcpPeerNetwork(),
    keys: new KeyRing([{id: 'k1', secret: 'first-secret-of-the-test'}]),
    clock,
    logger,
    metrics: new MetricsRegistry(),
  });
  t.after(() => link.close());
  return link;
}

function pauseProcess(): void {
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

test('a stall of the process that pings does not make its peer unresponsive', async t => {
  const peer = createLink(t, 'peer');
  let pingCount = 0;
  peer.setRequestHandler(async () => {
    pingCount += 1;
    if (pingCount === 2) pauseProcess();
    return {type: 'done'};
  });
  const address = await peer.listen('127.0.0.1:0');
  const watch = new PeerWatch({
    clock,
    logger,
    link: createLink(t, 'own'),
    membership: {getLiveCount: () => 9},
  });
  const record = {id: 'peer', address, failureDomain: 'a'};
  const watching = watch.beginWatching(record);
  let hasFailed = false;
  void watching.failed.then(() => (hasFailed = true));
  const endMs = performance.now() + MAX_WAIT_MS;
  while (pingCount < 3 && !hasFailed && performance.now() < endMs) {
    await waitMs(20);
  }
  watching.end();
  assert.equal(hasFailed, false);
  assert.ok(pingCount >= 3, `${pingCount} pings`);
});
