import assert from 'node:assert/strict';
import {test} from 'node:test';
import {listEndToEndHeaders} from './header-list.ts';

test('headers of one connection stay behind, the others keep order and spelling', () => {
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

test('a caller cannot have the host or the length dropped by naming them', () => {
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
