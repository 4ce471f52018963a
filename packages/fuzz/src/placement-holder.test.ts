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

const TIMEOUT_MS = 30_000;

interface PlacementSystem {
  readonly clock: ManualClock;
  readonly network: MemoryNetwork;
  readonly system: LocalSystem;
}

async function startPlacement(
  copies: number,
  checksFence: boolean,
): Promise<PlacementSystem> {
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
  await clock.advanceUntil(system.start(), TIMEOUT_MS);
  await publishCopies({clock, network, system}, copies, checksFence);
  await clock.advanceUntil(system.waitUntilReady(), TIMEOUT_MS);
  return {clock, network, system};
}

async function publishCopies(
  {clock, system}: PlacementSystem,
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
  await clock.advanceUntil(system.publish(objects), TIMEOUT_MS);
}

function countEnginesWithModel({system}: PlacementSystem): number {
  return system.engines.filter(({standIn}) =>
    standIn.modelInventory.hasModel('assistant'),
  ).length;
}

test('placement orders load the published number of copies, one load at a time', async () => {
  const placementSystem = await startPlacement(2, true);
  await placementSystem.clock.advance(20_000);
  assert.equal(countEnginesWithModel(placementSystem), 2);
  await placementSystem.system.stop();
});

for (const checksFence of [true, false]) {
  const kind = checksFence ? 'check fences' : 'do not check fences';
  test(`a former placement holder that resumes sends no further orders to engines that ${kind}`, async () => {
    const placementSystem = await startPlacement(1, checksFence);
    const {clock, network, system} = placementSystem;
    await clock.advance(20_000);
    const formerHolder = system.platform.getValue(PLACEMENT_HOLDER_KEY)!;
    network.getProcess(formerHolder).pause();
    const other = system.instances.findIndex(({id}) => id !== formerHolder);
    system.instances.unshift(...system.instances.splice(other, 1));
    await publishCopies(placementSystem, 3, checksFence);
    await clock.advance(40_000);
    const next = system.platform.getValue(PLACEMENT_HOLDER_KEY);
    assert.notEqual(next, formerHolder);
    assert.equal(countEnginesWithModel(placementSystem), 3);
    network.getProcess(formerHolder).resume();
    await clock.advance(20_000);
    for (const {standIn} of system.engines) {
      const fences = standIn.modelInventory
        .listApplied()
        .map(({fence}) => fence);
      const sorted = [...fences].sort((left, right) => left - right);
      assert.deepEqual(fences, sorted);
    }
    assert.equal(countEnginesWithModel(placementSystem), 3);
    await system.stop();
  });
}
