// Guards against one instance that plans the stages of a large fleet by itself.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  assembleUpstreamOwners,
  countUsefulPlanners,
  type AssignableUpstream,
} from './upstream-owners.ts';

const PLANNERS = ['p1', 'p2', 'p3'];

function createUpstreams(counts: Record<string, number>): AssignableUpstream[] {
  return Object.entries(counts).flatMap(([service, count]) =>
    Array.from({length: count}, (_, index) => ({
      id: `${service}-${index}`,
      service,
    })),
  );
}

test('each upstream has one planner, and planners have about as many of each service', () => {
  const upstreams = createUpstreams({encode: 19, rank: 15});
  const owners = assembleUpstreamOwners(upstreams, PLANNERS);
  assert.equal(owners.size, upstreams.length);
  for (const service of ['encode', 'rank']) {
    for (const planner of PLANNERS) {
      const own = upstreams.filter(
        each => each.service === service && owners.get(each.id) === planner,
      );
      assert.ok(
        own.length >= 4 && own.length <= 7,
        `${own.length} of ${service}`,
      );
    }
  }
});

test('the order in which upstreams are known does not matter', () => {
  const upstreams = createUpstreams({encode: 19});
  const owners = assembleUpstreamOwners(upstreams, PLANNERS);
  const reversed = assembleUpstreamOwners([...upstreams].reverse(), PLANNERS);
  assert.deepEqual([...reversed].sort(), [...owners].sort());
});

test('most upstreams keep their planner when an upstream is removed', () => {
  const upstreams = createUpstreams({encode: 19});
  const before = assembleUpstreamOwners(upstreams, PLANNERS);
  const after = assembleUpstreamOwners(upstreams.slice(1), PLANNERS);
  const moved = [...after].filter(([id, owner]) => before.get(id) !== owner);
  assert.ok(moved.length <= 4, `${moved.length} moved`);
});

test('services with few upstreams have few planners', () => {
  assert.equal(countUsefulPlanners(createUpstreams({a: 15, b: 19}), 4), 4);
  assert.equal(countUsefulPlanners(createUpstreams({a: 4, b: 19}), 4), 2);
  assert.equal(countUsefulPlanners(createUpstreams({a: 1, b: 19}), 4), 1);
  assert.equal(countUsefulPlanners([], 4), 1);
});
