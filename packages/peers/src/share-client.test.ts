import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import type {Workspace} from '@hollowstack/types';
import type {Membership} from './membership.ts';
import type {PeerRequest} from './messages.ts';
import type {PeerLink} from './peer-link.ts';
import {ShareClient} from './share-client.ts';
import {ShareAllocator} from './share-allocator.ts';

const LIMIT = 30;
const INSTANCES = 9;
/** Token buckets of all instances together; at the even share, each holds two requests. */
const BURST = 2 * INSTANCES;
/**
 * Sum of the limit, which one instance may already use, the even shares of the instances
 * that start after it, and the burst.
 */
const MAX_PER_SECOND_AT_START =
  LIMIT + (LIMIT * (INSTANCES - 1)) / INSTANCES + BURST;
/** Milliseconds within which the instances of a run start. */
const START_WITHIN_MS = 1500;
/** Milliseconds for two rounds of reports. */
const SETTLE_MS = 2500;
const LATENCY_MS = 2;
/** An instance removes the state of a workspace after 10 s without a request. */
const IDLE_MS = 12_000;
const WORKSPACE = {
  name: 'lima',
  limits: {requestsPerSecond: LIMIT, concurrentRequests: LIMIT},
} as Workspace;

/** Instances that divide one workspace's limits among themselves. */
class ShareFleet {
  readonly clients: ShareClient[] = [];
  private readonly clock: ManualClock;
  private readonly allocators = new Map<string, ShareAllocator>();

  constructor(clock: ManualClock, count: number, random = () => 0.5) {
    this.clock = clock;
    const ids = Array.from({length: count}, (_, index) => `instance-${index}`);
    for (const id of ids) this.allocators.set(id, new ShareAllocator(clock));
    const records = ids.map(id => ({id, address: id, failureDomain: 'a'}));
    for (const self of records) {
      const membership = {
        getSelf: () => self,
        listPeers: () => records.filter(({id}) => id !== self.id),
        getLiveCount: () => records.length,
      } as unknown as Membership;
      this.clients.push(
        new ShareClient({
          link: {
            sendRequest: (address: string, request: PeerRequest) =>
              this.answer(address, request),
          } as unknown as PeerLink,
          membership,
          allocator: this.allocators.get(self.id)!,
          clock,
          random,
          getWorkspace: () => WORKSPACE,
        }),
      );
    }
    for (const client of this.clients) void client.start();
  }

  stop(): void {
    for (const client of this.clients) client.stop();
  }

  private async answer(address: string, request: PeerRequest) {
    await waitFor(this.clock, LATENCY_MS);
    if (request.type !== 'demand') throw new Error('not expected');
    const allocator = this.allocators.get(address)!;
    const {instance} = request;
    const share = allocator.grantShare(
      request.workspace,
      instance,
      request,
      WORKSPACE.limits,
      this.clients.length,
    );
    await waitFor(this.clock, LATENCY_MS);
    return {type: 'share' as const, ...share};
  }
}

function startFleet(t: TestContext, count: number) {
  const clock = new ManualClock();
  const fleet = new ShareFleet(clock, count);
  t.after(() => fleet.stop());
  return {clock, clients: fleet.clients};
}

/** Begins concurrent requests and returns how many were refused. */
async function countRefused(
  clock: ManualClock,
  client: ShareClient,
  count: number,
): Promise<number> {
  let refused = 0;
  const attempts = Array.from({length: count}, async () => {
    const refusal = await client.beginRequest(WORKSPACE);
    if (refusal) refused += 1;
    else client.endRequest(WORKSPACE);
  });
  await clock.advance(20);
  await Promise.all(attempts);
  return refused;
}

for (const instances of [1, 9]) {
  for (const concurrent of [2, 5]) {
    test(`${concurrent} concurrent requests on a new instance, one of ${instances}, are admitted`, async t => {
      const {clock, clients} = startFleet(t, instances);
      assert.equal(await countRefused(clock, clients[0], concurrent), 0);
    });

    test(`${concurrent} concurrent requests after an idle period on one of ${instances} are admitted`, async t => {
      const {clock, clients} = startFleet(t, instances);
      await countRefused(clock, clients[0], 1);
      await clock.advance(IDLE_MS);
      assert.equal(await countRefused(clock, clients[0], concurrent), 0);
    });
  }
}

test('a caller below a third of the limit is never refused while it moves from instance to instance', async t => {
  const {clock, clients} = startFleet(t, INSTANCES);
  const intervalMs = 1000 / (LIMIT / 3);
  for (const client of clients) {
    for (let sent = 0; sent < 30; sent++) {
      const begun = client.beginRequest(WORKSPACE);
      await clock.advance(intervalMs);
      assert.equal(await begun, undefined, `request ${sent}`);
      client.endRequest(WORKSPACE);
    }
  }
});

test('instances that start at random times exceed the limit by a bounded amount, and after that only by the burst', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = createSeededRandom(seed);
    const clock = new ManualClock();
    const fleet = new ShareFleet(clock, INSTANCES, random);
    const startDelaysMs = fleet.clients.map(() => random() * START_WITHIN_MS);
    const startMs = clock.getNow();
    const admittedAtMs: number[] = [];
    const run = async (client: ShareClient, startDelayMs: number) => {
      await waitFor(clock, startDelayMs);
      while (clock.getNow() < startMs + 6000) {
        if (!(await client.beginRequest(WORKSPACE))) {
          admittedAtMs.push(clock.getNow());
          client.endRequest(WORKSPACE);
        }
        await waitFor(clock, 20);
      }
    };
    for (const [index, client] of fleet.clients.entries()) {
      void run(client, startDelaysMs[index]);
    }
    await clock.advance(7000);
    fleet.stop();
    const maxPerSecond = computeMaxPerSecond(admittedAtMs);
    assert.ok(
      maxPerSecond <= MAX_PER_SECOND_AT_START,
      `seed ${seed}: ${maxPerSecond} requests in one second`,
    );
    const settledAtMs = startMs + START_WITHIN_MS + SETTLE_MS;
    const settled = admittedAtMs.filter(atMs => atMs >= settledAtMs);
    const maxPerSecondSettled = computeMaxPerSecond(settled);
    assert.ok(
      maxPerSecondSettled <= LIMIT + BURST,
      `seed ${seed}: ${maxPerSecondSettled} requests in one second after all have started`,
    );
  }
});

function computeMaxPerSecond(admittedAtMs: readonly number[]): number {
  const counts = admittedAtMs.map(
    fromMs =>
      admittedAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000)
        .length,
  );
  return Math.max(...counts);
}

// A linear congruential generator; the packages that have a better generator depend on
// this package.
function createSeededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 0x8000_0000;
    return state / 0x8000_0000;
  };
}
