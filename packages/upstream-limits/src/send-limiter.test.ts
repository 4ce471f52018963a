import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {GrantDecision, GrantRequest} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantSource, LimitTable, SendGranter, SendLimiter} from './index.ts';

const WINDOW_MS = 4000;
const SEND_INTERVAL_MS = 20;
const UPSTREAM = {id: 'u1', service: 'chat'};
const REQUEST: GrantRequest = {
  service: 'chat',
  upstreamIds: ['u1'],
  priority: 1,
  workspace: 'w1',
  isReturning: false,
  maxWaitMs: 0,
};

/** Instances with one coordinator, which may be unreachable. */
class TestFleet {
  readonly clock = new ManualClock(0);
  readonly granters: SendGranter[] = [];
  readonly limiters: SendLimiter[] = [];
  readonly metrics = new MetricsRegistry();
  readonly sentAtMs: number[] = [];
  /** Index of the coordinator; -1 while none is reachable. */
  coordinator = 0;

  constructor(size: number, limit: number) {
    const {clock, metrics} = this;
    const logger = new SilentEventLogger();
    const random = createSeededRandom(7);
    for (let index = 0; index < size; index++) {
      const table = new LimitTable({clock, logger});
      const answer = {upstream: UPSTREAM, requestId: 'r1', sentAtMs: 0};
      table.recordLimit(answer, limit);
      const granter = new SendGranter({
        clock,
        random,
        getLimit: id => table.getLimit(id),
      });
      this.granters.push(granter);
      this.limiters.push(
        new SendLimiter({
          clock,
          logger,
          metrics,
          random,
          table,
          granter,
          source: this.createSource(index),
          getInstanceCount: () => size,
        }),
      );
    }
  }

  /** Has every instance request grants at short intervals. */
  async run(durationMs: number): Promise<void> {
    const {clock} = this;
    const endMs = clock.getNow() + durationMs;
    while (clock.getNow() < endMs) {
      for (const limiter of this.limiters) {
        void limiter.acquireGrant(REQUEST).then(({type}) => {
          if (type === 'granted') this.sentAtMs.push(clock.getNow());
        });
      }
      await clock.advance(SEND_INTERVAL_MS);
    }
  }

  countPeak(): number {
    const counts = this.sentAtMs.map(
      fromMs =>
        this.sentAtMs.filter(
          atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS,
        ).length,
    );
    return Math.max(0, ...counts);
  }

  private createSource(index: number): GrantSource {
    const isCoordinator = () => this.coordinator === index;
    const askCoordinator = async (
      request: GrantRequest,
    ): Promise<GrantDecision | undefined> =>
      this.granters[this.coordinator]?.acquireGrant(request);
    return new (class extends GrantSource {
      isCoordinator = isCoordinator;
      askCoordinator = askCoordinator;
    })();
  }
}

function computeAllowed(limit: number): number {
  return 1.5 * limit * (WINDOW_MS / 1000) + 5;
}

for (const [size, limit] of [
  [1, 1],
  [9, 1],
  [89, 1.5],
  [89, 20],
]) {
  test(`${size} instances under load stay within a limit of ${limit} per second and use most of it`, async () => {
    const fleet = new TestFleet(size, limit);
    await fleet.run(3 * WINDOW_MS);
    assert.ok(
      fleet.countPeak() <= computeAllowed(limit),
      `${fleet.countPeak()}`,
    );
    const perSecond = fleet.sentAtMs.length / (3 * (WINDOW_MS / 1000));
    assert.ok(perSecond > 0.7 * limit, `${perSecond}`);
  });

  test(`${size} instances stay within a limit of ${limit} per second while the coordinator changes and is unreachable`, async () => {
    const fleet = new TestFleet(size, limit);
    await fleet.run(WINDOW_MS);
    for (const coordinator of [-1, size - 1, -1, 0]) {
      fleet.coordinator = coordinator;
      await fleet.run(WINDOW_MS / 2);
    }
    assert.ok(
      fleet.countPeak() <= computeAllowed(limit),
      `${fleet.countPeak()}`,
    );
  });

  test(`${size} instances without a coordinator stay within a limit of ${limit} per second and still send`, async () => {
    const fleet = new TestFleet(size, limit);
    fleet.coordinator = -1;
    await fleet.run(6 * WINDOW_MS);
    assert.ok(
      fleet.countPeak() <= computeAllowed(limit),
      `${fleet.countPeak()}`,
    );
    assert.ok(fleet.sentAtMs.length > 0);
  });
}

test('stopping the granter refuses waiting requests, and refusals are counted', async () => {
  const fleet = new TestFleet(1, 1);
  const [limiter] = fleet.limiters;
  const answers = [
    limiter.acquireGrant(REQUEST),
    limiter.acquireGrant({...REQUEST, maxWaitMs: 5000}),
  ];
  fleet.granters[0].stop();
  assert.deepEqual(
    (await Promise.all(answers)).map(({type}) => type),
    ['refused', 'refused'],
  );
  const labels = {service: 'chat', decision: 'refused'};
  const count = fleet.metrics.getCounter(
    'hollowstack_limited_sends_total',
    labels,
  );
  assert.equal(count, 2);
});
