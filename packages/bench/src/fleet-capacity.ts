import {ManualClock} from '@hollowstack/clock';
import {
  LocalSystem,
  MemoryNetwork,
  createSampleConfiguration,
  createSeededRandom,
} from '@hollowstack/local-system';
import {configObjectSchema, type ConfigObject} from '@hollowstack/types';

/** How large the fleet of one measurement is. */
export interface FleetSize {
  readonly instances: number;
  readonly workspaces: number;
}

/** What one instance of an otherwise idle fleet spends on control. */
export interface FleetFigures extends FleetSize {
  /** Calls of the platform's service a second, per instance and by all. */
  readonly storeCallsPerInstance: number;
  readonly storeCallsOfAll: number;
  /** Requests to peers a second, per instance. */
  readonly peerRequestsPerInstance: number;
  /** Bytes a second on the peer link, sent and received, per instance. */
  readonly peerBytesPerInstance: number;
  /** Processor milliseconds a second, per instance, upstream polls left out. */
  readonly processorMsPerInstance: number;
  /** Megabytes of heap per instance, its part of the in-memory network included. */
  readonly heapMegabytesPerInstance: number;
  /** Milliseconds from an accepted publish to in force on the last instance. */
  readonly inForceMs: number;
  /** The same with the watch telling nothing. */
  readonly inForceUnwatchedMs: number;
  /** Error of the aggregate rate of one workspace's limit, as a share of it. */
  readonly shareError: number;
}

const LATENCY_MS = 1;
const SETTLE_MS = 15_000;
const MEASURED_MS = 20_000;
const START_LIMIT_MS = 120_000;
const IN_FORCE_LIMIT_MS = 60_000;
const LIMIT_PER_SECOND = 200;
const SHARE_SETTLE_MS = 4000;

/** Measures the control of a fleet of in-process daemons without upstreams. */
export async function measureFleet(size: FleetSize): Promise<FleetFigures> {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, {getLatencyMs: () => LATENCY_MS});
  const system = new LocalSystem(network, {
    instances: size.instances,
    encoders: 1,
    retrievers: 1,
    rerankers: 1,
    engines: 1,
    bookings: 1,
    random: createSeededRandom(size.instances),
    // Polls of upstreams are a cost of their own, with a slope of their own.
    applyToSettings: settings => ({
      ...settings,
      limits: {...settings.limits, reportPollMs: 3_600_000},
    }),
  });
  await clock.advanceUntil(system.start(), START_LIMIT_MS);
  const objects = createObjects(system, size.workspaces);
  await clock.advanceUntil(system.publish(objects), START_LIMIT_MS);
  await clock.advanceUntil(system.waitUntilReady(), START_LIMIT_MS);
  await clock.advance(SETTLE_MS);
  const idle = await measureIdle(clock, network, system);
  const heapMegabytesPerInstance = measureHeap() / size.instances;
  const inForceMs = await measureInForce(clock, system, 'first');
  system.platform.setFaults({isWatchSilent: true});
  const inForceUnwatchedMs = await measureInForce(clock, system, 'second');
  system.platform.setFaults({isWatchSilent: false});
  const shareError = await measureShareError(clock, system);
  await system.stop();
  return {
    ...size,
    ...idle,
    heapMegabytesPerInstance,
    inForceMs,
    inForceUnwatchedMs,
    shareError,
  };
}

// Exact only where Node was started with --expose-gc.
function measureHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}

function createObjects(
  system: LocalSystem,
  workspaces: number,
): ConfigObject[] {
  const objects = createSampleConfiguration(system.listUpstreams());
  for (let number = 1; number <= workspaces; number++) {
    objects.push(createWorkspace(`workspace-${number}`));
  }
  return objects;
}

function createWorkspace(name: string): ConfigObject {
  const pipeline = {
    template: 'chat',
    deadlineMs: 1000,
    priority: 1,
    model: 'assistant',
  };
  return configObjectSchema.parse({
    kind: 'workspace',
    value: {
      name,
      pipelines: {chat: pipeline, other: pipeline},
      limits: {requestsPerSecond: LIMIT_PER_SECOND},
    },
  });
}

async function measureIdle(
  clock: ManualClock,
  network: MemoryNetwork,
  system: LocalSystem,
): Promise<
  Pick<
    FleetFigures,
    | 'storeCallsPerInstance'
    | 'storeCallsOfAll'
    | 'peerRequestsPerInstance'
    | 'peerBytesPerInstance'
    | 'processorMsPerInstance'
  >
> {
  const count = system.instances.length;
  const seconds = MEASURED_MS / 1000;
  const callsBefore = system.platform.getCallCount();
  const peersBefore = network.getPeerTraffic();
  const processorBefore = process.cpuUsage();
  await clock.advance(MEASURED_MS);
  const processor = process.cpuUsage(processorBefore);
  const peers = network.getPeerTraffic();
  const calls = system.platform.getCallCount() - callsBefore;
  const processorMs = (processor.user + processor.system) / 1000;
  // Each byte and message is one instance's to send and another's to receive.
  const bytes = 2 * (peers.bytes - peersBefore.bytes);
  const messages = peers.messages - peersBefore.messages;
  return {
    storeCallsPerInstance: calls / seconds / count,
    storeCallsOfAll: calls / seconds,
    peerRequestsPerInstance: messages / 2 / seconds / count,
    peerBytesPerInstance: bytes / seconds / count,
    processorMsPerInstance: processorMs / seconds / count,
  };
}

async function measureInForce(
  clock: ManualClock,
  system: LocalSystem,
  change: string,
): Promise<number> {
  const before = system.instances[0].daemon.parts.holder.getRevision();
  const publishing = system.publish([createWorkspace(`changed-${change}`)]);
  await clock.advanceUntil(publishing, START_LIMIT_MS);
  const acceptedAtMs = clock.getNow();
  const isEverywhere = () =>
    system.instances.every(
      ({daemon}) => daemon.parts.holder.getRevision() > before,
    );
  while (!isEverywhere()) {
    if (clock.getNow() - acceptedAtMs > IN_FORCE_LIMIT_MS) return Infinity;
    await clock.advance(10);
  }
  return clock.getNow() - acceptedAtMs;
}

// Demand is uneven: one instance in three asks for three times as much, and
// together they ask for twice the limit.
async function measureShareError(
  clock: ManualClock,
  system: LocalSystem,
): Promise<number> {
  const {instances} = system;
  const holder = instances[0].daemon.parts.holder;
  const workspace = holder.getCurrent()!.getWorkspace('workspace-1')!;
  const weights = instances.map((_, index) => (index % 3 === 0 ? 3 : 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const shares = weights.map(weight => (2 * LIMIT_PER_SECOND * weight) / total);
  const owed = instances.map(() => 0);
  const stepMs = 20;
  let admitted = 0;
  const runStep = (isCounted: boolean) => {
    instances.forEach(({daemon}, index) => {
      owed[index] += (shares[index] * stepMs) / 1000;
      while (owed[index] >= 1) {
        owed[index] -= 1;
        const refusal = daemon.parts.shares.beginRequest(workspace);
        if (refusal) continue;
        daemon.parts.shares.endRequest(workspace);
        if (isCounted) admitted += 1;
      }
    });
  };
  const runFor = async (durationMs: number, isCounted: boolean) => {
    for (let atMs = 0; atMs < durationMs; atMs += stepMs) {
      runStep(isCounted);
      await clock.advance(stepMs);
    }
  };
  await runFor(SHARE_SETTLE_MS, false);
  await runFor(MEASURED_MS / 2, true);
  const perSecond = admitted / (MEASURED_MS / 2000);
  return perSecond / LIMIT_PER_SECOND - 1;
}
