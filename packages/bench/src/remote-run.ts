import {SystemClock, waitFor} from '@hollowstack/clock';
import {SystemCaller} from '@hollowstack/local-system';
import {NodeHttpClient} from '@hollowstack/transport';
import {createArrivals, type Arrival} from './arrivals.ts';
import type {RequestResult, RunResult} from './results.ts';
import type {Scenario} from './scenario.ts';

const LOOPBACK = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/;

/**
 * Sends a scenario's arrivals to running instances in an open loop: each request is
 * sent at its time, regardless of the outcome of earlier ones. The scenario's faults
 * are ignored, and the instances use the policy of their settings.
 *
 * @param addresses Loopback addresses of entry instances.
 * @throws Error for an address that is not a loopback address.
 */
export async function runAgainstEntries(
  scenario: Scenario,
  addresses: readonly string[],
  seed: number,
): Promise<RunResult> {
  const invalid = addresses.find(address => !LOOPBACK.test(address));
  if (invalid) throw new Error(`${invalid} is not a loopback address`);
  const clock = new SystemClock();
  const client = new NodeHttpClient();
  const callers = addresses.map(address => new SystemCaller(client, address));
  const startMs = clock.getNow() + scenario.warmupMs;
  const pendingResults: Array<Promise<RequestResult>> = [];
  for (const arrival of createArrivals(scenario, seed)) {
    const delayMs = startMs + arrival.atMs - clock.getNow();
    if (delayMs > 0) await waitFor(clock, delayMs);
    const index = Math.floor(arrival.balancerDraw * callers.length);
    pendingResults.push(sendArrival(callers[index], arrival, clock, startMs));
  }
  const results = await Promise.all(pendingResults);
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
    // Measured from the intended start, so that a sender that lags behind does not
    // report lower latencies.
    latencyMs: clock.getNow() - (startMs + arrival.atMs),
    outcome,
  };
}
