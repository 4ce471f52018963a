import assert from 'node:assert/strict';
import {test} from 'node:test';
import {listEndToEndHeaders} from './header-list.ts';

test('hop-by-hop headers are dropped, the others keep order and spelling', () => {
  assert.deepEqual(
    listEndToEndHeaders(
      [
        'Host',
        'a.example',
        'Connection',
        'keep-alive, X-Hop',
        'X-Hop',
        '1',
        'X-Kept',
        'a',
        'Transfer-Encoding',
        'chunked',
        'x-kept',
        'b',
        'X-Dropped',
        'c',
      ],
      new Set(['x-dropped']),
    ),
    ['Host', 'a.example', 'X-Kept', 'a', 'x-kept', 'b'],
  );
});

test('a Connection header that lists host and length does not remove them', () => {
  const headers = [
    'Connection',
    'host, content-length',
    'Host',
    'a',
    'Content-Length',
    '3',
  ];
  assert.deepEqual(listEndToEndHeaders(headers, new Set()), [
    'Host',
    'a',
    'Content-Length',
    '3',
  ]);
});
