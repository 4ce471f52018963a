import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {FreshnessTable} from './freshness-table.ts';

const LIMIT_MS = 2000;

test('the view is as old as its oldest part', async () => {
  const clock = new ManualClock();
  const table = new FreshnessTable({clock, maxAgeMs: LIMIT_MS});
  const startMs = clock.getNow();
  assert.deepEqual(table.getState(), {
    ageMs: undefined,
    part: 'configuration',
    source: '',
  });
  table.recordKnown('configuration', startMs, 'watch');
  assert.equal(table.isStale(), true);
  table.recordKnown('upstreams', startMs, 'store');
  assert.equal(table.isStale(), false);
  await clock.advance(LIMIT_MS + 1);
  table.recordKnown('configuration', clock.getNow(), 'peer');
  assert.equal(table.isStale(), true);
  assert.deepEqual(table.getState(), {
    ageMs: LIMIT_MS + 1,
    part: 'upstreams',
    source: 'store',
  });
});

test('older evidence does not replace newer evidence, and future evidence counts as now', async () => {
  const clock = new ManualClock();
  const table = new FreshnessTable({clock, maxAgeMs: LIMIT_MS});
  const startMs = clock.getNow();
  table.recordKnown('upstreams', startMs + 500, 'peer');
  assert.equal(table.getKnownUntilMs('upstreams'), startMs);
  await clock.advance(100);
  table.recordKnown('upstreams', startMs + 100, 'watch');
  table.recordKnown('upstreams', startMs, 'late');
  assert.equal(table.getKnownUntilMs('upstreams'), startMs + 100);
});
