import assert from 'node:assert/strict';
import {test} from 'node:test';
import {joinEraRevision, parseEra, splitEraRevision} from './store-era.ts';

test('a revision of a later era is higher than any of an earlier one', () => {
  const before = joinEraRevision(3, 2 ** 40 - 1);
  const after = joinEraRevision(4, 0);
  assert.ok(after > before);
  assert.deepEqual(splitEraRevision(before), {era: 3, revision: 2 ** 40 - 1});
  assert.deepEqual(splitEraRevision(after), {era: 4, revision: 0});
  const last = joinEraRevision(2 ** 12 - 1, 2 ** 40 - 1);
  assert.ok(Number.isSafeInteger(last));
});

test('a revision of a store without eras is unchanged', () => {
  assert.equal(joinEraRevision(0, 17), 17);
  assert.deepEqual(splitEraRevision(17), {era: 0, revision: 17});
});

test('an era beyond the number of eras wraps around, and one that is not a safe decimal integer is ignored', () => {
  assert.equal(parseEra('12'), 12);
  assert.equal(parseEra('4097'), 1);
  assert.equal(parseEra('9'.repeat(40)), undefined);
  for (const text of [undefined, '', '-1', '1.5', 'x', '1, 2', '1e3']) {
    assert.equal(parseEra(text), undefined);
  }
});
