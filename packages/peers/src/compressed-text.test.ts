import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FrameError, TextCompressor, decodeText} from './index.ts';

// Has the shape and size of the configuration of a large deployment.
const CONFIGURATION = JSON.stringify({
  routes: Array.from({length: 1900}, (_, index) => ({
    name: `r-${(index * 7919).toString(36)}`,
    hostname: `host-${index % 40}.example`,
    pathPrefix: `/${(index * 104_729).toString(36)}/`,
    type: 'idempotent',
    timeoutMs: 1500,
    objectiveMs: 300,
    priority: index % 3,
    service: 'registry',
    maxAttempts: 2,
    stages: [],
    isPublic: false,
  })),
});

test('a configuration of 1,900 routes is compressed to less than a sixth of its size', () => {
  const compressed = new TextCompressor().encodeText(CONFIGURATION, true);
  assert.ok(compressed instanceof Uint8Array);
  assert.ok(
    compressed.length * 6 < CONFIGURATION.length,
    `${compressed.length}`,
  );
  assert.equal(decodeText(compressed), CONFIGURATION);
});

test('a text is compressed once for all peers', () => {
  const compressor = new TextCompressor();
  const first = compressor.encodeText(CONFIGURATION, true);
  assert.equal(compressor.encodeText(CONFIGURATION, true), first);
});

test('short texts, and texts for peers that do not support compression, stay uncompressed', () => {
  const compressor = new TextCompressor();
  assert.equal(compressor.encodeText('short', true), 'short');
  assert.equal(compressor.encodeText(CONFIGURATION, false), CONFIGURATION);
});

test('invalid compressed bytes, and texts that inflate beyond the limit, are frame errors', () => {
  assert.throws(() => decodeText(new Uint8Array([1, 2, 3])), FrameError);
  const oversized = new TextCompressor().encodeText(
    ' '.repeat(9 * 1024 * 1024),
    true,
  );
  assert.throws(() => decodeText(oversized), FrameError);
});
