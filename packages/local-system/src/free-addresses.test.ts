import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {AddressReserver} from './free-addresses.ts';

const FIRST_BLOCK = 7;

function createReserver(t: TestContext): AddressReserver {
  const reserver = new AddressReserver(FIRST_BLOCK);
  t.after(() => reserver.close());
  return reserver;
}

test('two that look for addresses at the same time find different ones', async t => {
  const reservers = [createReserver(t), createReserver(t)];
  const found = await Promise.all(
    reservers.map(reserver => reserver.findAddresses(60)),
  );
  assert.equal(new Set(found.flat()).size, 120);
});

test('addresses can be found again once their reserver is closed', async t => {
  const first = new AddressReserver(FIRST_BLOCK);
  const addresses = await first.findAddresses(3);
  first.close();
  assert.deepEqual(await createReserver(t).findAddresses(3), addresses);
});
