import {SystemClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {KeyRing, PeerLink, TcpPeerNetwork} from '@hollowstack/peers';
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {PeerWatch} from './peer-watch.ts';

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

test('many who wait for a peer share its pings, and all learn that it is silent', async t => {
  const peer = createLink(t, 'peer');
  let pingCount = 0;
  let isSilent = false;
  peer.setRequestHandler(() => {
    pingCount += 1;
    return isSilent ? new Promise(() => {}) : Promise.resolve({type: 'done'});
  });
  const address = await peer.listen('127.0.0.1:0');
  const watch = new PeerWatch({clock, logger, link: createLink(t, 'own')});
  const watchings = Array.from({length: 20}, () =>
    watch.beginWatching({id: 'peer', address, failureDomain: 'a'}),
  );
  await waitMs(800);
  assert.ok(pingCount >= 2 && pingCount <= 6, `${pingCount} pings`);
  isSilent = true;
  await Promise.all(watchings.map(({failed}) => failed));
  for (const watching of watchings) watching.end();
  const countBefore = pingCount;
  await waitMs(400);
  assert.equal(pingCount, countBefore);
});

test('nobody waiting, nobody asks', async t => {
  const peer = createLink(t, 'peer');
  let pingCount = 0;
  peer.setRequestHandler(() => {
    pingCount += 1;
    return Promise.resolve({type: 'done'});
  });
  const address = await peer.listen('127.0.0.1:0');
  const watch = new PeerWatch({clock, logger, link: createLink(t, 'own')});
  watch.beginWatching({id: 'peer', address, failureDomain: 'a'}).end();
  await waitMs(400);
  assert.equal(pingCount, 0);
});
