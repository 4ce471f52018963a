import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {TunnelPeers} from './tunnel-peers.ts';

const PEERS = [
  {id: 'near-1', address: '1', failureDomain: 'a'},
  {id: 'near-2', address: '2', failureDomain: 'a'},
  {id: 'far', address: '3', failureDomain: 'b'},
];

let clock: ManualClock;
let peers: TunnelPeers;

const getNoRandomness = () => 0;

beforeEach(() => {
  clock = new ManualClock();
  peers = new TunnelPeers({
    clock,
    random: getNoRandomness,
    failureDomain: 'a',
    listPeers: () => PEERS,
  });
});

function chooseId(...excluded: string[]): string | undefined {
  return peers.choosePeer(new Set(excluded))?.id;
}

test('peers of the own failure domain are asked first', () => {
  assert.equal(chooseId(), 'near-1');
  assert.equal(chooseId('near-1'), 'near-2');
  assert.equal(chooseId('near-1', 'near-2'), 'far');
});

test('a peer that has a path is preferred to one that has not been asked', () => {
  peers.recordOpened('far')();
  assert.equal(chooseId(), 'far');
});

test('tunnels spread over the peers that have a path', () => {
  const chosen: Array<string | undefined> = [];
  for (const {id} of PEERS) peers.recordOpened(id)();
  for (let count = 0; count < 12; count++) {
    const id = chooseId();
    chosen.push(id);
    peers.recordOpened(id ?? '');
  }
  const countOf = (id: string) => chosen.filter(each => each === id).length;
  assert.deepEqual(
    PEERS.map(({id}) => countOf(id)),
    [6, 5, 1],
  );
});

test('a peer without a path is not asked again for a second', async () => {
  for (const {id} of PEERS) peers.recordRefusal(id, 'no-path');
  assert.equal(peers.isExhausted(), true);
  assert.equal(chooseId(), undefined);
  await clock.advance(1000);
  assert.equal(peers.isExhausted(), false);
});
