import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Slowness} from './slowness.ts';

test('samples move the slowness by their weight', () => {
  const slowness = new Slowness(0.5);
  slowness.recordSample(5, 0);
  assert.equal(slowness.getValue(0), 3);
  slowness.recordSample(5, 0);
  assert.equal(slowness.getValue(0), 4);
});

test('an upstream that was slow and gets no work counts as usual again in time', () => {
  const slowness = new Slowness(1);
  slowness.recordSample(5, 0);
  assert.equal(slowness.getValue(4000), 3);
  assert.equal(slowness.getValue(8000), 2);
  assert.ok(slowness.getValue(20_000) < 1.2);
});

test('one that is still slow is left alone again after its next work', () => {
  const slowness = new Slowness(0.3);
  for (let call = 0; call < 10; call++) slowness.recordSample(5, 0);
  const faded = slowness.getValue(8000);
  slowness.recordSample(5, 8000);
  assert.ok(faded < 2 && slowness.getValue(8000) > 2);
});
