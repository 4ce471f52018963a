import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeFingerprint, type RequestContent} from './index.ts';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'a.example',
  path: '/chat/x?q=1',
  workspace: 'w1',
  body: Buffer.from('hello'),
};

test('equal content has equal fingerprints', () => {
  const again = {...CONTENT, body: Buffer.from('hello')};
  assert.equal(computeFingerprint(again), computeFingerprint(CONTENT));
  assert.match(computeFingerprint(CONTENT), /^[0-9a-f]{32}$/);
});

test('each field of the content changes the fingerprint', () => {
  const others: RequestContent[] = [
    {...CONTENT, method: 'GET'},
    {...CONTENT, host: 'b.example'},
    {...CONTENT, path: '/chat/x?q=2'},
    {...CONTENT, workspace: 'w2'},
    {...CONTENT, body: Buffer.from('hello!')},
    {...CONTENT, body: undefined},
  ];
  const fingerprints = [CONTENT, ...others].map(computeFingerprint);
  assert.equal(new Set(fingerprints).size, fingerprints.length);
});

test('moving text from one field to the next changes the fingerprint', () => {
  const left = {...CONTENT, host: 'a.example/x', path: '/y'};
  const right = {...CONTENT, host: 'a.example', path: '/x/y'};
  assert.notEqual(computeFingerprint(left), computeFingerprint(right));
});
