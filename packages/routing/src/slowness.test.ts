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

test('the slowness of an upstream without work decays towards 1', () => {
  const slowness = new Slowness(1);
  slowness.recordSample(5, 0);
  assert.equal(slowness.getValue(4000), 3);
  assert.equal(slowness.getValue(8000), 2);
  assert.ok(slowness.getValue(20_000) < 1.2);
});

test('one more slow sample after the decay marks the upstream as slow again', () => {
  const slowness = new Slowness(0.3);
  for (let call = 0; call < 10; call++) slowness.recordSample(5, 0);
  const decayed = slowness.getValue(8000);
  slowness.recordSample(5, 8000);
  assert.ok(decayed < 2 && slowness.getValue(8000) > 2);
});
