import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HollowstackError} from '@hollowstack/errors';
import {assembleReport, parseLog, renderReport} from './index.ts';

const START_MS = Date.parse('2026-12-02T10:00:00.000Z');

function createLogLine(atMs: number, fields: Record<string, unknown>): string {
  const time = new Date(START_MS + atMs).toISOString();
  return JSON.stringify({time, ...fields});
}

function createSettledLine(
  atMs: number,
  fields: Record<string, unknown> = {},
): string {
  return createLogLine(atMs, {
    name: 'request.settled',
    route: 'summary',
    service: 'engines',
    outcome: 'answered',
    reason: '',
    tookMs: 500,
    firstMs: 300,
    objectiveMs: 1000,
    ...fields,
  });
}

const LOG = [
  createSettledLine(500),
  createSettledLine(3000, {firstMs: 1400, tookMs: 2000}),
  `collector-prefix ${createSettledLine(2500, {
    outcome: 'overloaded',
    reason: 'predicted 1234 ms, objective in 990 ms',
    tookMs: 5,
  })}`,
  createSettledLine(2600, {
    outcome: 'overloaded',
    reason: 'predicted 1300 ms, objective in 995 ms',
    tookMs: 5,
  }),
  createLogLine(1400, {
    name: 'stage.call',
    service: 'encode',
    upstream: 'e1',
    items: 4,
    tookMs: 1000,
    noRoom: 1,
    inputGone: 0,
  }),
  createLogLine(1500, {name: 'entry.ready'}),
  '{"name":"request.settled","ti',
].join('\n');

test('a log is summarized in tables by route, reason and stage service', t => {
  const report = assembleReport(parseLog(LOG, 'a.log'), 2);
  t.assert.snapshot(renderReport(report));
});

test('a truncated line is counted, and the other lines are parsed', () => {
  const log = parseLog(LOG, 'a.log');
  assert.equal(log.unreadableCount, 1);
  assert.equal(log.settled.length, 4);
});

test('a file that is not a log is rejected with an error that names the file', () => {
  assert.throws(
    () => parseLog('not a log\n', 'notes.txt'),
    (error: unknown) =>
      error instanceof HollowstackError &&
      error.kind === 'bad-request' &&
      error.message.includes('notes.txt'),
  );
});
