import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FrameError, TextCompressor, decodeText} from './index.ts';

// As the operators of a large deployment write them.
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

test('a configuration of 1,900 routes goes to peers in a sixth of its size or less', () => {
  const packed = new TextCompressor().encodeText(CONFIGURATION, true);
  assert.ok(packed instanceof Uint8Array);
  assert.ok(packed.length * 6 < CONFIGURATION.length, `${packed.length}`);
  assert.equal(decodeText(packed), CONFIGURATION);
});

test('a text is deflated once for all peers', () => {
  const packer = new TextCompressor();
  const first = packer.encodeText(CONFIGURATION, true);
  assert.equal(packer.encodeText(CONFIGURATION, true), first);
});

test('short texts, and those for peers that do not know better, go as they are', () => {
  const packer = new TextCompressor();
  assert.equal(packer.encodeText('short', true), 'short');
  assert.equal(packer.encodeText(CONFIGURATION, false), CONFIGURATION);
});

test('bytes that are no deflated text, or too long a one, are an error of the frame', () => {
  assert.throws(() => decodeText(new Uint8Array([1, 2, 3])), FrameError);
  const bomb = new TextCompressor().encodeText(
    ' '.repeat(9 * 1024 * 1024),
    true,
  );
  assert.throws(() => decodeText(bomb), FrameError);
});
