import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RequestAgeEstimator,
  type RouteIdentity,
} from './request-age-estimator.ts';

const ROUTE: RouteIdentity = {name: 'r'};

function recordDeadlines(
  estimator: RequestAgeEstimator,
  deadlines: readonly number[],
): void {
  for (const deadlineMs of deadlines)
    estimator.recordDeadline(ROUTE, deadlineMs);
}

test('a deadline shorter than the usual one of the route indicates a retry', () => {
  const estimator = new RequestAgeEstimator();
  recordDeadlines(estimator, Array<number>(12).fill(9000));
  assert.equal(estimator.computeAgeMs(ROUTE, 9000), 0);
  assert.equal(estimator.computeAgeMs(ROUTE, 8950), 0);
  assert.equal(estimator.computeAgeMs(ROUTE, 7400), 1600);
});

test('widely varying deadlines are not taken for retries', () => {
  const estimator = new RequestAgeEstimator();
  recordDeadlines(
    estimator,
    [2, 3, 4, 5, 6, 7, 8, 9, 10, 11].map(seconds => seconds * 1000),
  );
  assert.equal(estimator.computeAgeMs(ROUTE, 5000), 0);
});

test('no age is estimated before enough deadlines were recorded', () => {
  // First attempts of one route, with deadlines from 10.2 to 12 s.
  const deadlines = [11_200, 10_241, 11_998, 10_408, 11_163, 10_900, 11_700];
  const estimator = new RequestAgeEstimator();
  for (const deadlineMs of deadlines) {
    assert.equal(estimator.computeAgeMs(ROUTE, deadlineMs), 0);
    estimator.recordDeadline(ROUTE, deadlineMs);
  }
});
