import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {test} from 'node:test';

const ROOT = new URL('../../../', import.meta.url);

function listForbiddenWords(): string[] {
  const page = readFileSync(new URL('docs/GLOSSARY.md', ROOT), 'utf8');
  const list = /look[s]? for\s+them\): ([^.]+)\./.exec(page)?.[1] ?? '';
  return list.split(',').map(word => word.replace(/\s+/g, ' ').trim());
}

test('the code uses none of the words that the glossary replaces', () => {
  const words = listForbiddenWords();
  assert.ok(words.length > 3);
  const pattern = new RegExp(words.map(word => `\\b${word}`).join('|'), 'i');
  const found = readdirSync(new URL('packages', ROOT), {recursive: true})
    .map(String)
    .filter(path => path.endsWith('.ts') && !path.includes('node_modules'))
    .filter(path => !path.endsWith('glossary.test.ts'))
    // These files contain names of old settings, to report the new names.
    .filter(path => !/toml-file\/src\/renamed-settings/.test(path))
    .filter(path =>
      pattern.test(readFileSync(new URL(`packages/${path}`, ROOT), 'utf8')),
    );
  assert.deepEqual(found, []);
});
