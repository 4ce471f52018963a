import {ManualClock} from '@hollowstack/clock';
import {
  LocalSystem,
  MemoryNetwork,
  createSeededRandom,
} from '@hollowstack/local-system';
import {createArrivals, type Arrival} from './arrivals.ts';
import {POLICIES, type PolicyName} from './policies.ts';
import {
  isAttained,
  type RequestResult,
  type RunResult,
  type StageCost,
} from './results.ts';
import {createScenarioConfiguration} from './scenario-configuration.ts';
import {ScenarioFaults} from './scenario-faults.ts';
import type {Scenario} from './scenario.ts';

const START_TIMEOUT_MS = 60_000;
/** Time after the last deadline for which late answers are awaited. */
const LATE_ANSWER_WAIT_MS = 1000;
const CALLERS = 'callers';

/** A result with the request id under which upstreams record their work. */
interface TracedResult extends RequestResult {
  readonly requestId: string;
}

/**
 * Runs one policy with one seed in this process, with the real daemons and stand-ins
 * for upstreams on a manual clock. The same seed gives the same result.
 */
export async function runInProcess(
  scenario: Scenario,
  policy: PolicyName,
  seed: number,
): Promise<RunResult> {
  const clock = new ManualClock();
  const random = createSeededRandom(seed);
  const network = new MemoryNetwork(clock, {
    getLatencyMs: (from, to) =>
      from === CALLERS || to === CALLERS
        ? scenario.callerLatencyMs
        : scenario.latencyMs,
  });
  const system = createSystem(scenario, policy, network, random);
  await clock.advanceUntil(system.start(), START_TIMEOUT_MS);
  const objects = createScenarioConfiguration(scenario, system.listUpstreams());
  await clock.advanceUntil(system.publish(objects), START_TIMEOUT_MS);
  await clock.advanceUntil(system.waitUntilReady(), START_TIMEOUT_MS);
  const run = new InProcessRun(scenario, system, network, clock);
  await run.runArrivals(createArrivals(scenario, seed));
  const result = run.getResult(policy, seed);
  await system.stop();
  return result;
}

function createSystem(
  scenario: Scenario,
  policy: PolicyName,
  network: MemoryNetwork,
  random: () => number,
): LocalSystem {
  const {encode, retrieve, rerank, generate} = scenario.pools;
  const {upstreams: engines, ...engineOptions} = generate;
  return new LocalSystem(network, {
    instances: scenario.instances,
    encoders: encode.upstreams,
    retrievers: retrieve.upstreams,
    rerankers: rerank.upstreams,
    engines,
    bookings: 0,
    random,
    engineOptions,
    poolOptions: {encode, retrieve, rerank},
    applyToSettings: settings => ({...settings, policy: POLICIES[policy]}),
  });
}

class InProcessRun {
  private readonly scenario: Scenario;
  private readonly system: LocalSystem;
  private readonly network: MemoryNetwork;
  private readonly clock: ManualClock;
  private readonly results: TracedResult[] = [];
  private startMs = 0;

  constructor(
    scenario: Scenario,
    system: LocalSystem,
    network: MemoryNetwork,
    clock: ManualClock,
  ) {
    this.scenario = scenario;
    this.system = system;
    this.network = network;
    this.clock = clock;
  }

  async runArrivals(arrivals: readonly Arrival[]): Promise<void> {
    const {warmupMs, durationMs} = this.scenario;
    this.startMs = this.clock.getNow() + warmupMs;
    for (const arrival of arrivals) {
      const delayMs = this.startMs + arrival.atMs - this.clock.getNow();
      this.clock.schedule(delayMs, () => this.sendArrival(arrival));
    }
    this.scheduleFaults();
    const longestMs = Math.max(
      ...arrivals.map(arrival => arrival.class.deadlineMs),
    );
    await this.clock.advance(
      warmupMs + durationMs + longestMs + LATE_ANSWER_WAIT_MS,
    );
  }

  getResult(policy: PolicyName, seed: number): RunResult {
    const requests = this.results.filter(({atMs}) => atMs >= 0);
    return {
      policy,
      seed,
      durationMs: this.scenario.durationMs,
      requests: requests.sort((left, right) => left.atMs - right.atMs),
      costs: this.computeCosts(requests),
    };
  }

  private scheduleFaults(): void {
    const faults = new ScenarioFaults(this.system, this.network);
    const offsetMs = this.scenario.warmupMs;
    for (const fault of this.scenario.faults) {
      this.clock.schedule(offsetMs + fault.atMs, () =>
        faults.startFault(fault),
      );
      if (fault.untilMs === undefined) continue;
      this.clock.schedule(offsetMs + fault.untilMs, () =>
        faults.endFault(fault),
      );
    }
  }

  private sendArrival(arrival: Arrival): void {
    const {instances} = this.system;
    const index = Math.floor(arrival.balancerDraw * instances.length);
    const sentAtMs = this.clock.getNow();
    const record = (outcome: string, requestId: string) =>
      this.results.push({
        atMs: arrival.atMs,
        workspace: arrival.workspace,
        class: arrival.class.name,
        priority: arrival.class.priority,
        deadlineMs: arrival.class.deadlineMs,
        latencyMs: this.clock.getNow() - sentAtMs,
        outcome,
        requestId,
      });
    // The caller's deadline includes its round trip to the instance, so the
    // instance gets that much less.
    const remainingMs =
      arrival.class.deadlineMs - 2 * this.scenario.callerLatencyMs;
    this.system
      .createCaller(instances[index])
      .runPipeline(arrival.workspace, arrival.class.name, arrival.input, {
        'hollowstack-deadline-ms': String(remainingMs),
      })
      .then(
        ({problem, headers}) =>
          record(
            problem?.kind ?? 'answered',
            headers['hollowstack-request-id'],
          ),
        () => record('broken', ''),
      );
  }

  private computeCosts(requests: readonly TracedResult[]): StageCost[] {
    const attained = new Set(
      requests.filter(isAttained).map(({requestId}) => requestId),
    );
    const {encoders, retrievers, rerankers, engines} = this.system;
    const stages = {
      encode: encoders,
      retrieve: retrievers,
      rerank: rerankers,
      generate: engines,
    };
    return Object.entries(stages).map(([stage, upstreams]) => {
      const records = upstreams
        .flatMap(({standIn}) => standIn.workLog.listRecords())
        .filter(({startedAtMs}) => startedAtMs >= this.startMs);
      const wasted = records.filter(({requestId}) => !attained.has(requestId));
      return {
        stage,
        busyMs: records.reduce((sum, {busyMs}) => sum + busyMs, 0),
        wastedMs: wasted.reduce((sum, {busyMs}) => sum + busyMs, 0),
      };
    });
  }
}
