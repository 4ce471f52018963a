import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {test} from 'node:test';
import {EVENTS, type EventDefinition} from './index.ts';

const ROOT = new URL('../../../', import.meta.url);
const events = Object.entries(EVENTS) as Array<[string, EventDefinition]>;

function readSources(): string {
  return readdirSync(new URL('packages', ROOT), {recursive: true})
    .map(String)
    .filter(path => path.endsWith('.ts') && !path.includes('node_modules'))
    .filter(path => !path.endsWith('events.ts'))
    .map(path => readFileSync(new URL(`packages/${path}`, ROOT), 'utf8'))
    .join('\n');
}

test('docs/EVENTS.md lists every event with its number, level and text', () => {
  const page = readFileSync(new URL('docs/EVENTS.md', ROOT), 'utf8');
  const rows = [
    ...page.matchAll(/^\| (\d+) +\| `(.+?)` +\| (\w+) +\| (.+?) +\|/gm),
  ];
  assert.deepEqual(
    rows.map(([, number, name, level, text]) => [
      Number(number),
      name,
      level,
      text,
    ]),
    events.map(([name, event]) => [
      event.number,
      name,
      event.level,
      event.text,
    ]),
  );
});

test('no two events have the same number', () => {
  const numbers = events.map(([, {number}]) => number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('every event of the catalogue is used in the sources', () => {
  const sources = readSources();
  const unused = events
    .map(([name]) => name)
    .filter(name => !sources.includes(`'${name}'`));
  assert.deepEqual(unused, []);
});
