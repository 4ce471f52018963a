import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RouteTable,
  chooseTarget,
  computeRequestPriority,
  isRepeatable,
  type Route,
  type RoutedConfiguration,
} from './index.ts';

function createRoute(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/a/',
    repeatability: 'repeatable',
    timeoutMs: 1000,
    objectiveMs: 100,
    priority: 0,
    targets: [{service: 's', weight: 1}],
    maxAttempts: 1,
    stages: [],
    isPublic: false,
    hasAffinity: false,
    isResumable: false,
    ...changes,
  };
}

function createConfiguration(
  routes: readonly Route[],
  workspaces?: RoutedConfiguration['workspaces'],
): RoutedConfiguration {
  return {
    revision: 1,
    routes: [...routes],
    services: [],
    workspaces,
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

test('the longest matching path prefix of the same host wins', () => {
  const table = new RouteTable(
    createConfiguration([
      createRoute({name: 'short', pathPrefix: '/a/'}),
      createRoute({name: 'long', pathPrefix: '/a/b/'}),
      createRoute({name: 'other', host: 'b.example', pathPrefix: '/'}),
    ]),
  );
  assert.equal(table.findRoute('a.example', '/a/b/c')?.name, 'long');
  assert.equal(table.findRoute('A.example', '/a/c')?.name, 'short');
  assert.equal(table.findRoute('a.example', '/a'), undefined);
  assert.equal(table.findRoute('b.example', '/a/b/')?.name, 'other');
  assert.equal(table.findRoute('c.example', '/a/'), undefined);
});

test('a revoked key belongs to no workspace', () => {
  const before = new RouteTable(
    createConfiguration([], [{name: 'w', keys: ['k1', 'k2']}]),
  );
  const after = new RouteTable(
    createConfiguration([], [{name: 'w', keys: ['k2']}]),
  );
  assert.equal(before.findWorkspace('k1')?.name, 'w');
  assert.equal(after.findWorkspace('k1'), undefined);
  assert.equal(after.findWorkspace('k2')?.name, 'w');
  assert.equal(new RouteTable(createConfiguration([])).hasWorkspaces(), false);
});

test('targets are chosen by weight, and never a target of weight 0', () => {
  const route = createRoute({
    targets: [
      {service: 'none', weight: 0},
      {service: 'few', weight: 10},
      {service: 'many', weight: 90},
    ],
  });
  assert.equal(chooseTarget(route, 0), 'few');
  assert.equal(chooseTarget(route, 0.0999), 'few');
  assert.equal(chooseTarget(route, 0.1), 'many');
  assert.equal(chooseTarget(route, 0.9999), 'many');
});

test('a stream is repeatable only if it is resumable', () => {
  assert.equal(isRepeatable(createRoute({repeatability: 'once'})), false);
  assert.equal(isRepeatable(createRoute({repeatability: 'stream'})), false);
  assert.equal(
    isRepeatable(createRoute({repeatability: 'stream', isResumable: true})),
    true,
  );
});

test('request priority orders by workspace first, then by route', () => {
  const urgent = createRoute({priority: 0});
  const lessUrgent = createRoute({priority: 2});
  const first = {name: 'first', keys: [], priority: 0};
  const second = {name: 'second', keys: [], priority: 1};
  const ranked = [
    computeRequestPriority(urgent, first),
    computeRequestPriority(lessUrgent, first),
    computeRequestPriority(urgent, second),
    computeRequestPriority(lessUrgent, second),
  ];
  assert.deepEqual(
    ranked,
    [...ranked].sort((left, right) => left - right),
  );
  assert.equal(new Set(ranked).size, 4);
});

test('a workspace without a priority gets the default one', () => {
  const route = createRoute({priority: 1});
  const usual = {name: 'usual', keys: [], priority: 1};
  assert.equal(
    computeRequestPriority(route, {name: 'unranked', keys: []}),
    computeRequestPriority(route, usual),
  );
});
