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

test('a caller that gives less time than others of its route has asked before', () => {
  const estimator = new RequestAgeEstimator();
  recordDeadlines(estimator, Array<number>(12).fill(9000));
  assert.equal(estimator.computeAgeMs(ROUTE, 9000), 0);
  assert.equal(estimator.computeAgeMs(ROUTE, 8950), 0);
  assert.equal(estimator.computeAgeMs(ROUTE, 7400), 1600);
});

test('callers that differ by themselves count as asking for the first time', () => {
  const estimator = new RequestAgeEstimator();
  recordDeadlines(
    estimator,
    [2, 3, 4, 5, 6, 7, 8, 9, 10, 11].map(seconds => seconds * 1000),
  );
  assert.equal(estimator.computeAgeMs(ROUTE, 5000), 0);
});

test('before anything was learnt a caller counts as asking for the first time', () => {
  // Callers of one route who give 10.2 to 12 s of 12, by themselves.
  const deadlines = [11_200, 10_241, 11_998, 10_408, 11_163, 10_900, 11_700];
  const estimator = new RequestAgeEstimator();
  for (const deadlineMs of deadlines) {
    assert.equal(estimator.computeAgeMs(ROUTE, deadlineMs), 0);
    estimator.recordDeadline(ROUTE, deadlineMs);
  }
});
