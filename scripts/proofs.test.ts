import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {formatCollapsed} from './collapsed-source.ts';
import {PROOFS, type Proof} from './proofs.ts';

// A quote that is not in its file leaves the mechanism enabled: prove-proofs stops with
// an error before it runs the check, and the mechanism stays unproved.
test('the source line that each proof quotes is in its file', () => {
  const missing = PROOFS.filter(proof => !isQuoteFound(proof));
  assert.deepEqual(
    missing.map(({mechanism, file, from}) => `${mechanism} | ${file}: ${from}`),
    [],
  );
});

function isQuoteFound({file, from}: Proof): boolean {
  const path = fileURLToPath(new URL(`../${file}`, import.meta.url));
  if (!existsSync(path)) return false;
  const source = formatCollapsed(readFileSync(path, 'utf8'));
  return source.includes(formatCollapsed(from));
}
