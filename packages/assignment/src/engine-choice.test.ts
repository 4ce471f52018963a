import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  PromptCacheModel,
  chooseEngine,
  type AssignmentInput,
  type EngineCandidate,
} from './index.ts';

function createEngine(
  id: string,
  changes: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    id,
    failureDomain: 'a',
    backlogTokens: 0,
    activeCount: 0,
    capacity: 64,
    slotOccupancyMs: undefined,
    cachedTokens: 0,
    slowness: 1,
    isCold: false,
    affinityRank: 0,
    ...changes,
  };
}

function createInput(
  engines: readonly EngineCandidate[],
  changes: Partial<AssignmentInput> = {},
): AssignmentInput {
  return {
    engines,
    promptTokens: 17_000,
    sharedTokens: 13_000,
    inputBytes: new Map(),
    tokensPerMs: 60,
    ...changes,
  };
}

test('a short backlog does not outweigh a cached shared part', () => {
  const engines = [
    createEngine('cached', {cachedTokens: 13_000, backlogTokens: 12_000}),
    createEngine('idle'),
  ];
  assert.equal(chooseEngine(createInput(engines))?.id, 'cached');
});

test('a long backlog outweighs a cached shared part', () => {
  const engines = [
    createEngine('cached', {cachedTokens: 13_000, backlogTokens: 60_000}),
    createEngine('idle'),
  ];
  assert.equal(chooseEngine(createInput(engines))?.id, 'idle');
});

test('the engine ranked first is chosen if none has the shared part cached', () => {
  const engines = [
    createEngine('second', {affinityRank: 1}),
    createEngine('preferred', {affinityRank: 0}),
  ];
  assert.equal(chooseEngine(createInput(engines))?.id, 'preferred');
});

test('a request goes to the failure domain that stores its inputs', () => {
  const engines = [
    createEngine('far', {failureDomain: 'a'}),
    createEngine('near', {failureDomain: 'b', backlogTokens: 3000}),
  ];
  const input = createInput(engines, {
    promptTokens: 1000,
    sharedTokens: 0,
    inputBytes: new Map([['b', 6_000_000]]),
  });
  assert.equal(chooseEngine(input)?.id, 'near');
});

test('a full engine is chosen last, and no candidates give no choice', () => {
  const engines = [
    createEngine('full', {activeCount: 64}),
    createEngine('busy', {activeCount: 20, backlogTokens: 30_000}),
  ];
  assert.equal(chooseEngine(createInput(engines))?.id, 'busy');
  assert.equal(chooseEngine(createInput([])), undefined);
});

test('a cached part counts only if all parts before it are cached', () => {
  const cache = new PromptCacheModel(1000);
  cache.recordPrompt([
    {id: 'a', tokens: 100},
    {id: 'b', tokens: 200},
  ]);
  assert.equal(
    cache.countCachedTokens([
      {id: 'a', tokens: 100},
      {id: 'b', tokens: 200},
      {id: 'c', tokens: 5},
    ]),
    300,
  );
  const behindUncached = [
    {id: 'x', tokens: 50},
    {id: 'b', tokens: 200},
  ];
  assert.equal(cache.countCachedTokens(behindUncached), 0);
  assert.equal(cache.countCachedTokens([{id: 'b', tokens: 200}]), 200);
});

test('the least recently used parts are evicted', () => {
  const cache = new PromptCacheModel(250);
  cache.recordPrompt([{id: 'a', tokens: 100}]);
  cache.recordPrompt([{id: 'b', tokens: 100}]);
  cache.recordPrompt([{id: 'a', tokens: 100}]);
  cache.recordPrompt([{id: 'c', tokens: 100}]);
  assert.equal(cache.countCachedTokens([{id: 'a', tokens: 100}]), 100);
  assert.equal(cache.countCachedTokens([{id: 'b', tokens: 100}]), 0);
});

test('a prompt with time to spare waits for the engine that has its shared part cached', () => {
  // A backlog of 250 ms at the engine with the cached part; recomputing it elsewhere takes 80 ms.
  const engines = [
    createEngine('cached', {cachedTokens: 5_400, backlogTokens: 16_500}),
    createEngine('idle'),
  ];
  const choose = (dueInMs: number | undefined) =>
    chooseEngine(
      createInput(engines, {
        promptTokens: 6_000,
        sharedTokens: 5_400,
        tokensPerMs: 66,
        dueInMs,
      }),
    )?.id;
  assert.equal(choose(900), 'cached');
  assert.equal(choose(150), 'idle');
  assert.equal(choose(-500), 'idle');
});

test('of prompts of 100 to 50,000 tokens, only the one without time to spare goes to the idle engine', () => {
  const engines = [
    createEngine('cached', {cachedTokens: 5_400, backlogTokens: 20_000}),
    createEngine('idle'),
  ];
  for (const [ownTokens, id] of [
    [100, 'cached'],
    [6_000, 'cached'],
    [50_000, 'idle'],
  ] as const) {
    const input = createInput(engines, {
      promptTokens: 5_400 + ownTokens,
      sharedTokens: 5_400,
      tokensPerMs: 100,
      dueInMs: 700,
    });
    assert.equal(chooseEngine(input)?.id, id, `${ownTokens}`);
  }
});

test('a request waits for a slot at the engine that has its shared part cached, unless others already wait there', () => {
  const choose = (activeCount: number) =>
    chooseEngine(
      createInput(
        [
          createEngine('cached', {
            cachedTokens: 5_400,
            activeCount,
            capacity: 12,
            slotOccupancyMs: 1_800,
          }),
          createEngine('idle', {capacity: 12, slotOccupancyMs: 1_800}),
        ],
        {promptTokens: 6_000, sharedTokens: 5_400, dueInMs: 900},
      ),
    )?.id;
  assert.equal(choose(11), 'cached');
  assert.equal(choose(12), 'cached');
  assert.equal(choose(14), 'idle');
});
