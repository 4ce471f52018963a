import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {
  LocalSystem,
  MemoryNetwork,
  createSampleConfiguration,
  createSeededRandom,
} from '@hollowstack/local-system';
import {PLACEMENT_HOLDER_KEY} from '@hollowstack/placement';

const LIMIT_MS = 30_000;

interface PlacedSystem {
  readonly clock: ManualClock;
  readonly network: MemoryNetwork;
  readonly system: LocalSystem;
}

async function startPlaced(
  copies: number,
  checksFence: boolean,
): Promise<PlacedSystem> {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, {getLatencyMs: () => 1});
  const system = new LocalSystem(network, {
    instances: 3,
    encoders: 1,
    retrievers: 1,
    rerankers: 1,
    engines: 3,
    bookings: 1,
    random: createSeededRandom(4),
    engineOptions: {checksFence, models: []},
  });
  await clock.advanceUntil(system.start(), LIMIT_MS);
  await publishCopies({clock, network, system}, copies, checksFence);
  await clock.advanceUntil(system.waitUntilReady(), LIMIT_MS);
  return {clock, network, system};
}

async function publishCopies(
  {clock, system}: PlacedSystem,
  copies: number,
  checksFence: boolean,
): Promise<void> {
  const objects = createSampleConfiguration(system.listUpstreams()).map(
    object => {
      if (object.kind !== 'pool' || object.value.stage !== 'generate') {
        return object;
      }
      const upstreams = object.value.upstreams.map(upstream => ({
        ...upstream,
        checksFence,
      }));
      const placement = {
        targets: [{model: 'assistant', copies}],
        modelsPerEngine: 1,
        maxLoads: 1,
      };
      return {...object, value: {...object.value, upstreams, placement}};
    },
  );
  await clock.advanceUntil(system.publish(objects), LIMIT_MS);
}

function countHolders({system}: PlacedSystem): number {
  return system.engines.filter(({standIn}) =>
    standIn.modelInventory.hasModel('assistant'),
  ).length;
}

test('orders bring the engines to the published copies, one load at a time', async () => {
  const placed = await startPlaced(2, true);
  await placed.clock.advance(20_000);
  assert.equal(countHolders(placed), 2);
  await placed.system.stop();
});

for (const checksFence of [true, false]) {
  const kind = checksFence ? 'check fences' : 'do not check fences';
  test(`a former holder that wakes up orders nothing more from engines that ${kind}`, async () => {
    const placed = await startPlaced(1, checksFence);
    const {clock, network, system} = placed;
    await clock.advance(20_000);
    const former = system.platform.getValue(PLACEMENT_HOLDER_KEY)!;
    network.getProcess(former).pause();
    const other = system.instances.findIndex(({id}) => id !== former);
    system.instances.unshift(...system.instances.splice(other, 1));
    await publishCopies(placed, 3, checksFence);
    await clock.advance(40_000);
    const next = system.platform.getValue(PLACEMENT_HOLDER_KEY);
    assert.notEqual(next, former);
    assert.equal(countHolders(placed), 3);
    network.getProcess(former).resume();
    await clock.advance(20_000);
    for (const {standIn} of system.engines) {
      const fences = standIn.modelInventory
        .listApplied()
        .map(({fence}) => fence);
      const sorted = [...fences].sort((left, right) => left - right);
      assert.deepEqual(fences, sorted);
    }
    assert.equal(countHolders(placed), 3);
    await system.stop();
  });
}
