import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {SilentEventLogger} from '@hollowstack/logger';
import type {RouteTable} from '@hollowstack/routes';
import {BackOffTable} from '@hollowstack/upstream-signals';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UpstreamPool} from './upstream-pool.ts';

const NONE: ReadonlySet<string> = new Set();
const NO_BACK_OFFS = new BackOffTable({
  clock: new ManualClock(),
  logger: new SilentEventLogger(),
});

function createRecord(id: string) {
  return {
    id,
    service: 'plain',
    address: '10.0.0.1:1',
    failureDomain: 'a',
    capacity: 4,
    isLeaving: false,
  };
}

test('the slowness of an upstream decays even while it gets no work', () => {
  let nowMs = 0;
  const pool = new UpstreamPool({
    getNow: () => nowMs,
    random: Math.random,
    getInstanceCount: () => 1,
    backOffs: NO_BACK_OFFS,
  });
  pool.setUpstreams([createRecord('usual'), createRecord('slow')]);
  const getSlowness = (id: string) =>
    pool.listCandidates('plain', NONE).find(each => each.id === id)!
      .latencyRatio;
  for (let round = 0; round < 40; round++) pool.recordSuccess('usual', 10);
  for (let round = 0; round < 10; round++) pool.recordSuccess('slow', 60);
  assert.ok(getSlowness('slow') > 2);
  assert.equal(getSlowness('usual'), 1);
  nowMs = 20_000;
  assert.equal(getSlowness('slow'), 1);
});

const WARM_UP = {durationMs: 3000, requestsPerSecond: 9};
const INSTANCES = 40;
/** Requests per second of every instance; a cold upstream tolerates 9 in all. */
const REQUESTS_PER_SECOND = 5;

test('instances without a coordinator together do not exceed the warm-up rate of a cold upstream', () => {
  let nowMs = 0;
  const sentAtMs: number[] = [];
  const random = createSeededRandom(7);
  const pools = Array.from({length: INSTANCES}, () => {
    const pool = new UpstreamPool({
      getNow: () => nowMs,
      random,
      getInstanceCount: () => INSTANCES,
      backOffs: NO_BACK_OFFS,
    });
    pool.setConfiguration({
      configuration: {services: [{name: 'plain', warmUp: WARM_UP}]},
    } as unknown as RouteTable);
    pool.setUpstreams([{...createRecord('cold'), coldUntilMs: 10_000}]);
    return pool;
  });
  const stepMs = 1000 / REQUESTS_PER_SECOND;
  for (; nowMs < 10_000; nowMs += stepMs) {
    for (const pool of pools) {
      const [candidate] = pool.listCandidates('plain', NONE);
      if (!candidate.hasSendQuota) continue;
      pool.recordUncoordinatedChoice('cold');
      sentAtMs.push(nowMs);
    }
  }
  const most = Math.max(
    ...sentAtMs.map(
      from => sentAtMs.filter(at => at >= from && at < from + 1000).length,
    ),
  );
  assert.ok(most <= WARM_UP.requestsPerSecond, `${most} in a second`);
  assert.ok(sentAtMs.length > 10, `${sentAtMs.length} in all`);
  pools[0].setUpstreams([{...createRecord('cold'), coldUntilMs: 0}]);
  assert.equal(pools[0].listCandidates('plain', NONE)[0].hasSendQuota, true);
});
