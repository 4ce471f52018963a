import {SystemClock, waitFor} from '@hollowstack/clock';
import {SystemCaller} from '@hollowstack/local-system';
import {NodeHttpClient} from '@hollowstack/transport';
import {createArrivals, type Arrival} from './arrivals.ts';
import type {RequestResult, RunResult} from './results.ts';
import type {Scenario} from './scenario.ts';

const LOOPBACK = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/;

/**
 * Sends a scenario's arrivals to running instances, open loop: each request at
 * its time, however the ones before it fare. Faults of the scenario are not
 * switched, and the policy is whatever the instances run.
 *
 * @param addresses Loopback addresses of entry instances.
 */
export async function runAgainstEntries(
  scenario: Scenario,
  addresses: readonly string[],
  seed: number,
): Promise<RunResult> {
  const foreign = addresses.find(address => !LOOPBACK.test(address));
  if (foreign) throw new Error(`${foreign} is not a loopback address`);
  const clock = new SystemClock();
  const client = new NodeHttpClient();
  const callers = addresses.map(address => new SystemCaller(client, address));
  const startMs = clock.getNow() + scenario.warmupMs;
  const sending: Array<Promise<RequestResult>> = [];
  for (const arrival of createArrivals(scenario, seed)) {
    const delayMs = startMs + arrival.atMs - clock.getNow();
    if (delayMs > 0) await waitFor(clock, delayMs);
    const index = Math.floor(arrival.balancerDraw * callers.length);
    sending.push(sendArrival(callers[index], arrival, clock, startMs));
  }
  const results = await Promise.all(sending);
  client.close();
  return {
    policy: 'hollowstack',
    seed,
    durationMs: scenario.durationMs,
    requests: results.filter(({atMs}) => atMs >= 0),
    costs: [],
  };
}

async function sendArrival(
  caller: SystemCaller,
  arrival: Arrival,
  clock: SystemClock,
  startMs: number,
): Promise<RequestResult> {
  const outcome = await caller
    .runPipeline(arrival.workspace, arrival.class.name, arrival.input)
    .then(
      ({problem}) => problem?.kind ?? 'answered',
      () => 'broken',
    );
  return {
    atMs: arrival.atMs,
    workspace: arrival.workspace,
    class: arrival.class.name,
    priority: arrival.class.priority,
    deadlineMs: arrival.class.deadlineMs,
    // From the intended start: a sender that fell behind must not look better.
    latencyMs: clock.getNow() - (startMs + arrival.atMs),
    outcome,
  };
}
