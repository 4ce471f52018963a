// Guards against a busy peer that counts as unresponsive although its messages arrive.
import {ManualClock, waitFor} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import type {PeerReply} from '@hollowstack/peers';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerWatch, type PeerWatchHandle} from './peer-watch.ts';

const PEER = {id: 'p', address: '10.0.0.1:1', failureDomain: 'a'};

class BusyPeer {
  readonly clock = new ManualClock();
  pingCount = 0;
  contactAtMs = this.clock.getNow();
  hasFailed = false;
  readonly handle: PeerWatchHandle;

  constructor() {
    const watch = new PeerWatch({
      clock: this.clock,
      logger: new SilentEventLogger(),
      link: {
        sendRequest: (_address, _request, timeoutMs) =>
          this.rejectPing(timeoutMs),
        closePeer: () => {},
        getSilenceMs: () => this.clock.getNow() - this.contactAtMs,
      },
      membership: {getLiveCount: () => 9},
    });
    this.handle = watch.beginWatching(PEER);
    void this.handle.failed.then(() => (this.hasFailed = true));
  }

  /** Lets messages other than answers to pings arrive. */
  async sendMessages(count: number, intervalMs: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      this.contactAtMs = this.clock.getNow();
      await this.clock.advance(intervalMs);
    }
  }

  private async rejectPing(timeoutMs: number): Promise<PeerReply> {
    this.pingCount += 1;
    await waitFor(this.clock, timeoutMs);
    throw new Error('no answer');
  }
}

test('a peer whose messages arrive stays responsive though its pings time out', async () => {
  const peer = new BusyPeer();
  await peer.sendMessages(20, 400);
  assert.equal(peer.hasFailed, false);
  peer.handle.end();
});

test('a peer whose messages arrive often is not pinged', async () => {
  const peer = new BusyPeer();
  await peer.sendMessages(50, 100);
  assert.equal(peer.pingCount, 0);
  peer.handle.end();
});

test('a busy peer that goes silent is detected within 0.6 s of its last message', async () => {
  const peer = new BusyPeer();
  await peer.sendMessages(20, 100);
  await peer.clock.advance(510);
  assert.equal(peer.hasFailed, true);
});
