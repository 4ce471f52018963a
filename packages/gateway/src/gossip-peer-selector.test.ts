import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Membership, PeerRecord} from '@hollowstack/peers';
import {GossipPeerSelector} from './gossip-peer-selector.ts';

const SELF = createPeer('self', 'a');

function createPeer(id: string, failureDomain: string): PeerRecord {
  return {id, address: id, failureDomain};
}

function chooseForRefresh(
  peers: readonly PeerRecord[],
  reachable: readonly PeerRecord[] = peers,
) {
  const selector = new GossipPeerSelector({
    membership: {
      getSelf: () => SELF,
      listPeers: () => peers,
      listReachablePeers: () => reachable,
    } as unknown as Membership,
    seeds: [],
    random: getZero,
  });
  const {far, near, hasOtherDomains} = selector.chooseForRefresh();
  return {far: far?.id, near: near?.id, hasOtherDomains};
}

test('a refresh asks a peer of another failure domain and one of the same', t => {
  const [a, b, c] = [
    createPeer('a1', 'a'),
    createPeer('b1', 'b'),
    createPeer('c1', 'c'),
  ];
  t.assert.snapshot({
    all: chooseForRefresh([a, b, c]),
    'other domains are unreachable': chooseForRefresh([a, b, c], [a]),
    'nobody of the own domain': chooseForRefresh([b, c]),
    'one domain': chooseForRefresh([a, createPeer('a2', 'a')]),
    nobody: chooseForRefresh([]),
  });
  assert.equal(chooseForRefresh([b]).near, undefined);
});

function getZero(): number {
  return 0;
}
