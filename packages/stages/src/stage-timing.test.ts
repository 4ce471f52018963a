import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeSlackMs, type StageProgress} from './stage-timing.ts';

/** Creates one stage parallel to a chain of three. */
function createFork(chainMs: readonly number[]): StageProgress[] {
  const [first, second, third] = chainMs;
  return [
    {after: [], remainingMs: 300},
    {after: [], remainingMs: first},
    {after: [1], remainingMs: second},
    {after: [2], remainingMs: third},
  ];
}

test('a stage parallel to a longer chain may wait until the rest of the chain is as short', () => {
  assert.equal(computeSlackMs(createFork([300, 400, 300]), 0), 700);
  assert.equal(computeSlackMs(createFork([0, 200, 300]), 0), 200);
  assert.equal(computeSlackMs(createFork([0, 0, 300]), 0), 0);
  assert.equal(computeSlackMs(createFork([0, 0, 100]), 0), 0);
});

test('a stage on the longest chain has no slack', () => {
  assert.equal(computeSlackMs(createFork([300, 400, 300]), 1), 0);
  const alone = [{after: [], remainingMs: 50}];
  assert.equal(computeSlackMs(alone, 0), 0);
});

test('the slack of a stage accounts for the stages that read it', () => {
  const stages = [
    {after: [], remainingMs: 100},
    {after: [0], remainingMs: 250},
    {after: [], remainingMs: 500},
  ];
  assert.equal(computeSlackMs(stages, 0), 150);
});

test('slack is never negative, and using it up never delays the request', () => {
  const graphs = fc
    .array(
      fc.record({
        remainingMs: fc.nat(1000),
        sources: fc.array(fc.nat(5), {maxLength: 3}),
      }),
      {minLength: 1, maxLength: 6},
    )
    .map(drawn =>
      drawn.map(({remainingMs, sources}, index) => ({
        remainingMs,
        after: [...new Set(sources.filter(source => source < index))],
      })),
    );
  fc.assert(
    fc.property(graphs, stages => {
      const sources = stages.flatMap(({after}, index) =>
        after.length === 0 ? [index] : [],
      );
      const endMs = computeEndMs(stages);
      for (const index of sources) {
        const slackMs = computeSlackMs(stages, index);
        assert.ok(slackMs >= 0);
        const delayed = stages.map((stage, each) =>
          each === index
            ? {...stage, remainingMs: stage.remainingMs + slackMs}
            : stage,
        );
        assert.equal(computeEndMs(delayed), endMs);
      }
    }),
  );
});

function computeEndMs(stages: readonly StageProgress[]): number {
  const finishes: number[] = [];
  for (const {after, remainingMs} of stages) {
    const startMs = Math.max(0, ...after.map(source => finishes[source]));
    finishes.push(startMs + remainingMs);
  }
  return Math.max(...finishes);
}
