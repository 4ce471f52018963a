import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {assemblePlacementPlan, type EngineState} from './index.ts';

function createEngine(
  number: number,
  models: string[],
  isUsable = true,
): EngineState {
  return {
    id: `e-${number}`,
    failureDomain: `z-${number % 3}`,
    isUsable,
    models,
  };
}

const TARGETS = [
  {model: 'chat', copies: 3},
  {model: 'review', copies: 1},
];

test('missing copies go to free engines spread over failure domains, and loaded copies stay', t => {
  const engines = [
    createEngine(1, ['chat']),
    createEngine(2, []),
    createEngine(3, []),
    createEngine(4, ['old']),
  ];
  t.assert.snapshot(assemblePlacementPlan(TARGETS, engines, 1, 10));
});

test('loads beyond the maximum are postponed and unload no model', t => {
  const engines = [1, 2, 3, 4].map(number => createEngine(number, ['old']));
  t.assert.snapshot(assemblePlacementPlan(TARGETS, engines, 1, 1));
});

test('an unusable engine gets no order, and its copies move to other engines', t => {
  const engines = [
    createEngine(1, ['chat'], false),
    createEngine(2, ['chat']),
    createEngine(3, ['chat']),
    createEngine(4, ['review']),
    createEngine(5, []),
  ];
  t.assert.snapshot(assemblePlacementPlan(TARGETS, engines, 1, 10));
});

test('executing plans repeatedly converges to the targets from any initial state', () => {
  const models = fc.subarray(['chat', 'review', 'old']);
  fc.assert(
    fc.property(
      fc.array(models, {minLength: 4, maxLength: 9}),
      fc.integer({min: 1, max: 3}),
      (initialModels, maxLoads) => {
        let engines = initialModels.map((own, index) =>
          createEngine(index, own.slice(0, 1)),
        );
        for (let round = 0; round < 20; round++) {
          const {orders} = assemblePlacementPlan(TARGETS, engines, 1, maxLoads);
          const loads = orders.flatMap(order => order.loads);
          assert.ok(loads.length <= maxLoads);
          engines = engines.map(engine => {
            const order = orders.find(({engine: id}) => id === engine.id);
            return order ? {...engine, models: [...order.models]} : engine;
          });
          if (orders.length === 0) break;
        }
        for (const {model, copies} of TARGETS) {
          const loadedEngines = engines.filter(engine =>
            engine.models.includes(model),
          );
          assert.equal(loadedEngines.length, copies);
        }
      },
    ),
    {seed: 5, numRuns: 300},
  );
});
