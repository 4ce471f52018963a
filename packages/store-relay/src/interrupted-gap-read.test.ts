// Guards against changes that an instance applies to its mirror and never passes on.
import {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import type {PeerReply, PeerRequest} from '@hollowstack/peers';
import {createPrefixRange} from '@hollowstack/store';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RangeMirrors} from './range-mirrors.ts';
import {RelayClient, type RelayClientParts} from './relay-client.ts';

const PEERS = ['p1', 'p2'].map(id => ({id, address: id, failureDomain: 'a'}));
const KEY = 'upstreams/e1';

function createClient(answer: (request: PeerRequest) => PeerReply) {
  const mirrors = new RangeMirrors();
  mirrors.replaceRanges(['upstreams/', 'settings/'].map(createPrefixRange));
  for (const {start} of mirrors.listRanges()) {
    mirrors.applyRangeResult(start, {
      storeId: 's',
      storeRevision: 5,
      keyValues: [],
    });
  }
  const client = new RelayClient({
    clock: new ManualClock(),
    logger: new SilentEventLogger(),
    link: {sendRequest: async (_address, request) => answer(request)},
    getMembers: () =>
      ({
        getSelf: () => ({id: 'self', address: 'self', failureDomain: 'a'}),
        recordUnreachable: () => {},
      }) as unknown as ReturnType<RelayClientParts['getMembers']>,
    listWatchers: () => PEERS,
    mirrors,
    followWithinMs: 2000,
  });
  return {client, mirrors};
}

test('changes of one range are passed on although the read of another range fails', async () => {
  const {client, mirrors} = createClient(request => {
    if (request.type !== 'relay-watch') throw new Error('the peer was lost');
    const event = {
      type: 'put',
      key: KEY,
      value: 'leaving',
      modRevision: 6,
    } as const;
    return {
      type: 'relay-changes',
      isAfterOutage: true,
      ranges: [
        {start: 'upstreams/', events: [event], isGap: false},
        {start: 'settings/', events: [], isGap: true},
      ],
    };
  });
  const update = await client.askForChanges(PEERS[0]);
  assert.deepEqual(
    update?.events.map(({key, value}) => ({key, value})),
    [{key: KEY, value: 'leaving'}],
  );
  assert.equal(update?.isComplete, false);
  assert.equal(update?.isAfterOutage, false);
  assert.equal(mirrors.findMirror('upstreams/')?.getRevision(), 6);
  assert.equal(mirrors.findMirror('settings/')?.getRevision(), 5);
});
