import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallerAges, type AgedRoute} from './caller-ages.ts';

function createRoute(timeoutMs: number): AgedRoute {
  return {name: 'r', timeoutMs};
}

function recordDeadlines(ages: CallerAges, deadlines: readonly number[]): void {
  const route = createRoute(8000);
  for (const deadlineMs of deadlines) ages.recordDeadline(route, deadlineMs);
}

test('a caller that gives less time than others of its route has asked before', () => {
  const ages = new CallerAges();
  recordDeadlines(ages, Array<number>(12).fill(9000));
  assert.equal(ages.computeAgeMs(createRoute(8000), 9000), 0);
  assert.equal(ages.computeAgeMs(createRoute(8000), 8950), 0);
  assert.equal(ages.computeAgeMs(createRoute(8000), 7400), 1600);
});

test('callers that differ by themselves count as asking for the first time', () => {
  const ages = new CallerAges();
  recordDeadlines(
    ages,
    [2, 3, 4, 5, 6, 7, 8, 9, 10, 11].map(seconds => seconds * 1000),
  );
  assert.equal(ages.computeAgeMs(createRoute(8000), 5000), 0);
});

test('before anything was learnt the time of the route tells, unless it says too much', () => {
  const route = createRoute(8000);
  assert.equal(new CallerAges().computeAgeMs(route, 7200), 800);
  assert.equal(new CallerAges().computeAgeMs(route, 8109), 0);
  assert.equal(new CallerAges().computeAgeMs(createRoute(16000), 8000), 0);
});
