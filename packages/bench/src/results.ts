import {LatencyHistogram} from '@hollowstack/metrics';
import type {PolicyName} from './policies.ts';

/** Outcome of one arrival. */
export interface RequestResult {
  readonly atMs: number;
  readonly workspace: string;
  readonly class: string;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Milliseconds from the intended start to the complete answer or the final error. */
  readonly latencyMs: number;
  /** `answered`, an error kind, or `broken` if the connection failed. */
  readonly outcome: string;
}

/** Busy time of the upstreams of one stage. */
export interface StageCost {
  readonly stage: string;
  readonly busyMs: number;
  /** Part of `busyMs` spent on requests that missed their deadline. */
  readonly wastedMs: number;
}

/** One run of one policy with one seed. */
export interface RunResult {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly durationMs: number;
  readonly requests: readonly RequestResult[];
  /** Empty if the upstreams' work records are not available. */
  readonly costs: readonly StageCost[];
}

/** Statistics of a value over several seeds. */
export interface SeedStatistics {
  readonly mean: number;
  readonly min: number;
  readonly max: number;
}

/** Results of one request class over all seeds of a policy. */
export interface ClassSummary {
  readonly class: string;
  readonly priority: number;
  readonly attainment: SeedStatistics;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Results of one policy over all its seeds. */
export interface PolicySummary {
  readonly policy: PolicyName;
  readonly seeds: number;
  readonly requests: number;
  /** Share of requests answered completely within their deadline. */
  readonly attainment: SeedStatistics;
  /** Requests per second answered completely within their deadline. */
  readonly goodput: SeedStatistics;
  /** Share of upstream time spent on requests that missed their deadline. */
  readonly wasted: SeedStatistics;
  /** Upstream milliseconds per request answered in time, by stage. */
  readonly costs: ReadonlyArray<{stage: string; perAttainedMs: SeedStatistics}>;
  readonly classes: readonly ClassSummary[];
  /** Requests by outcome. */
  readonly outcomes: ReadonlyArray<{outcome: string; count: number}>;
}

/** Returns whether a request was answered completely within its deadline. */
export function isAttained(request: RequestResult): boolean {
  return (
    request.outcome === 'answered' && request.latencyMs <= request.deadlineMs
  );
}

/** Computes the summary of each policy, in the order in which policies first ran. */
export function computeSummaries(runs: readonly RunResult[]): PolicySummary[] {
  const policies = [...new Set(runs.map(({policy}) => policy))];
  return policies.map(policy =>
    computePolicySummary(
      policy,
      runs.filter(run => run.policy === policy),
    ),
  );
}

function computePolicySummary(
  policy: PolicyName,
  runs: readonly RunResult[],
): PolicySummary {
  const requests = runs.flatMap(run => run.requests);
  return {
    policy,
    seeds: runs.length,
    requests: requests.length,
    attainment: computeStatistics(runs.map(run => getAttainment(run.requests))),
    goodput: computeStatistics(runs.map(getGoodput)),
    wasted: computeStatistics(runs.map(getWastedShare)),
    costs: computeCosts(runs),
    classes: computeClasses(runs),
    outcomes: countOutcomes(requests),
  };
}

function getAttainment(requests: readonly RequestResult[]): number {
  if (requests.length === 0) return 1;
  return requests.filter(isAttained).length / requests.length;
}

function getGoodput({requests, durationMs}: RunResult): number {
  return (requests.filter(isAttained).length * 1000) / durationMs;
}

function getWastedShare({costs}: RunResult): number {
  const busyMs = costs.reduce((sum, cost) => sum + cost.busyMs, 0);
  const wastedMs = costs.reduce((sum, cost) => sum + cost.wastedMs, 0);
  return busyMs === 0 ? 0 : wastedMs / busyMs;
}

function computeCosts(
  runs: readonly RunResult[],
): Array<{stage: string; perAttainedMs: SeedStatistics}> {
  const stages = runs[0].costs.map(({stage}) => stage);
  return stages.map(stage => ({
    stage,
    perAttainedMs: computeStatistics(
      runs.map(run => {
        const attained = run.requests.filter(isAttained).length;
        const cost = run.costs.find(candidate => candidate.stage === stage);
        return (cost?.busyMs ?? 0) / Math.max(1, attained);
      }),
    ),
  }));
}

function computeClasses(runs: readonly RunResult[]): ClassSummary[] {
  const requests = runs.flatMap(run => run.requests);
  const names = [...new Set(requests.map(request => request.class))].sort();
  return names.map(name => {
    const classRequests = requests.filter(request => request.class === name);
    const histogram = new LatencyHistogram();
    classRequests
      .filter(({outcome}) => outcome === 'answered')
      .forEach(({latencyMs}) => histogram.recordMs(latencyMs));
    const {p50Ms, p95Ms, p99Ms} = histogram.getSummary();
    return {
      class: name,
      priority: classRequests[0].priority,
      attainment: computeStatistics(
        runs.map(run =>
          getAttainment(run.requests.filter(request => request.class === name)),
        ),
      ),
      p50Ms,
      p95Ms,
      p99Ms,
    };
  });
}

function countOutcomes(
  requests: readonly RequestResult[],
): Array<{outcome: string; count: number}> {
  const counts = new Map<string, number>();
  for (const request of requests) {
    const isLate = request.outcome === 'answered' && !isAttained(request);
    const outcome = isLate ? 'answered late' : request.outcome;
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return [...counts]
    .map(([outcome, count]) => ({outcome, count}))
    .sort((left, right) => right.count - left.count);
}

function computeStatistics(values: readonly number[]): SeedStatistics {
  const sum = values.reduce((total, value) => total + value, 0);
  return {
    mean: sum / values.length,
    min: Math.min(...values),
    max: Math.max(...values),
  };
}
