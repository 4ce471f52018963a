import type {StageCapacity} from '@hollowstack/routes';
import {listCompatible, type Isolation} from './isolation.ts';

/** A job with waiting pieces, as input of the plan. */
export interface WaitingJob {
  readonly jobId: string;
  /** Number of waiting pieces. */
  readonly pieceCount: number;
  /** Milliseconds that one piece takes. */
  readonly pieceMs: number;
  /** Bytes of the result of one piece. */
  readonly resultBytes: number;
  readonly queuedAtMs: number;
  /** Time by which the job must be done to meet the request's objective. */
  readonly dueAtMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether upstreams store results of earlier stages for the job. */
  readonly hasInputs: boolean;
  /** Milliseconds before the due time that pieces of other jobs must not use up. */
  readonly reserveMs: number;
  /** Failure domain where the inputs are stored or the results will be read. */
  readonly failureDomain: string | undefined;
  /** Bytes that cross failure domains if the job runs outside its own. */
  readonly crossingBytes: number;
  /** Set if a call of the job broke or upstreams crashed while they ran its request. */
  readonly isolation: Isolation | undefined;
}

/** An upstream that can take a call now, as input of the plan. */
export interface FreeUpstream {
  readonly id: string;
  readonly failureDomain: string;
  /** Free result memory in bytes. */
  readonly freeBytes: number;
  /** Ratio of the duration of calls to the expected duration; 1 is normal speed. */
  readonly slowness: number;
  readonly idleSinceMs: number;
}

/** The pieces of one job in a call. */
export interface BatchPart {
  readonly jobId: string;
  readonly pieceCount: number;
}

/** A planned call. */
export interface Batch {
  readonly upstreamId: string;
  readonly parts: readonly BatchPart[];
}

/** Input of the plan for one service. */
export interface BatchPlanInput {
  readonly nowMs: number;
  readonly capacity: StageCapacity;
  readonly jobs: readonly WaitingJob[];
  readonly free: readonly FreeUpstream[];
  /** Failure domains with at least one active upstream, busy upstreams included. */
  readonly domainsInUse: ReadonlySet<string>;
  /** Number of active upstreams, busy ones included. */
  readonly upstreamsInUse: number;
  /** Whether at least one active upstream, busy or not, works at about normal speed. */
  readonly hasNormalSpeedUpstream: boolean;
}

/** Jobs that move fewer bytes between failure domains run in any domain without a wait. */
const SMALL_CROSSING_BYTES = 200_000;
/**
 * Share of its spare time that a job waits for an upstream in its own failure domain. A longer
 * wait adds latency, a shorter one adds traffic between domains. The share is taken of the
 * spare time, not of all remaining time, so that a job with almost none to spare, such as one
 * of a request with a large prompt, takes any free upstream.
 */
const DOMAIN_WAIT_SHARE = 0.35;
/**
 * Share of the fixed duration of a call after which a wait counts as long: by then several
 * upstreams have become free, on average one of them in the job's own domain.
 */
const LONG_WAIT_SHARE = 0.5;
/** An upstream of at least this slowness is used only if the others cannot keep up. */
export const SLOW_FACTOR = 2;
/** Wait, about one call long, after which slow upstreams are used as well. */
const SLOW_UPSTREAM_WAIT_MS = 200;
/** Difference in due time that one step of priority outweighs. */
const PRIORITY_STEP_MS = 300;
/** Ranks jobs that can no longer be in time after all jobs that still can. */
const LATE_PENALTY_MS = 100_000;
/**
 * Ranks late jobs without inputs after late jobs with inputs: the latter have less work left,
 * and while they wait their inputs occupy result memory that others need.
 */
const LATE_WITHOUT_INPUTS_PENALTY_MS = 2 * LATE_PENALTY_MS;

/**
 * Plans the calls of one service. The most urgent jobs go first, each in a single call if
 * possible and in the failure domain where its data is stored; the work is spread over the free
 * upstreams.
 */
export function assembleBatches(input: BatchPlanInput): Batch[] {
  const {capacity} = input;
  const waiting = listByUrgency(input);
  const remainingCounts = new Map(
    waiting.map(job => [job.jobId, job.pieceCount]),
  );
  const free = chooseUpstreams(input, waiting);
  const batches: Batch[] = [];
  free.forEach((upstream, index) => {
    const eligible = listCompatible(
      listEligible(waiting, remainingCounts, upstream, input),
    );
    if (eligible.length === 0) return;
    const pieces = eligible.reduce(
      (sum, job) => sum + remainingCounts.get(job.jobId)!,
      0,
    );
    const share = Math.ceil(pieces / (free.length - index));
    const size = Math.min(capacity.batchSize, share);
    const parts = assembleBatch(eligible, remainingCounts, {
      size,
      maxSize: capacity.batchSize,
      maySplit: pieces > capacity.batchSize * free.length,
      freeBytes: upstream.freeBytes,
      startedAtMs: input.nowMs,
      callMs: capacity.callMs,
    });
    if (parts.length > 0) batches.push({upstreamId: upstream.id, parts});
  });
  return batches;
}

// Jobs whose data is stored in the upstream's failure domain go first. If at least a full
// batch waits, jobs of other domains that have waited for long fill the rest of the call:
// without that, upstreams that stayed idle or ran small calls cost a sixth of a service's
// capacity in bursts. Under light load, when pieces wait only briefly, filling up would
// transfer six times as many bytes between domains.
function listEligible(
  waiting: readonly WaitingJob[],
  remainingCounts: ReadonlyMap<string, number>,
  upstream: FreeUpstream,
  input: BatchPlanInput,
): WaitingJob[] {
  const usable = waiting.filter(
    job =>
      remainingCounts.get(job.jobId)! > 0 &&
      mayRunOnUpstream(job, upstream, input),
  );
  const isLocal = (job: WaitingJob) =>
    mayRunInDomain(job, upstream.failureDomain, input);
  const local = usable.filter(isLocal);
  const pieces = usable.reduce(
    (sum, job) => sum + remainingCounts.get(job.jobId)!,
    0,
  );
  if (pieces < input.capacity.batchSize) return local;
  const longMs = LONG_WAIT_SHARE * input.capacity.callMs;
  const remote = usable.filter(
    job => !isLocal(job) && input.nowMs - job.queuedAtMs >= longMs,
  );
  return [...local, ...remote];
}

interface BatchBounds {
  /** Target number of pieces. */
  readonly size: number;
  /** Maximum number of pieces. */
  readonly maxSize: number;
  /** Whether more pieces wait than the free upstreams can take in one call each. */
  readonly maySplit: boolean;
  readonly freeBytes: number;
  readonly startedAtMs: number;
  /** Fixed milliseconds of a call, in addition to those of its pieces. */
  readonly callMs: number;
}

function assembleBatch(
  jobs: readonly WaitingJob[],
  remainingCounts: Map<string, number>,
  bounds: BatchBounds,
): BatchPart[] {
  const parts: BatchPart[] = [];
  let pieces = 0;
  let bytes = 0;
  let workMs = 0;
  let spareMs = Infinity;
  for (const job of jobs) {
    if (pieces >= bounds.size) break;
    const wanted = remainingCounts.get(job.jobId)!;
    const maxByMemory = countFittingPieces(job, bounds.freeBytes - bytes);
    const fitting = Math.min(wanted, maxByMemory, bounds.maxSize - pieces);
    if (fitting <= 0) continue;
    // Unless `maySplit` is set, only the first job of a call is split: one that does not fit in
    // a call of its own.
    if (fitting < wanted && parts.length > 0 && !bounds.maySplit) continue;
    const addedMs = fitting * job.pieceMs;
    if (!bounds.maySplit && workMs + addedMs > spareMs) continue;
    workMs += addedMs;
    spareMs = Math.min(spareMs, computeSpareMs(job, workMs, bounds));
    parts.push({jobId: job.jobId, pieceCount: fitting});
    remainingCounts.set(job.jobId, wanted - fitting);
    pieces += fitting;
    bytes += fitting * job.resultBytes;
  }
  return parts;
}

// Computes how long the pieces of a call may take before the job becomes late. Each piece
// delays all others in the call: a call with 25 pieces of 8 ms takes 446 ms, one with two
// takes 257 ms, and a request with a large prompt cannot afford the difference. A job that is
// late already sets no bound, nor does any job while more pieces wait than the free upstreams
// can take, since full calls then serve more. The reserve covers the work after the call,
// which takes up to a fifth longer than predicted.
function computeSpareMs(
  job: WaitingJob,
  workMs: number,
  {startedAtMs, callMs}: BatchBounds,
): number {
  const leftMs = job.dueAtMs - startedAtMs - callMs;
  if (leftMs < workMs) return Infinity;
  return Math.max(workMs, leftMs - job.reserveMs);
}

function countFittingPieces(job: WaitingJob, freeBytes: number): number {
  if (job.resultBytes <= 0) return Infinity;
  return Math.floor(freeBytes / job.resultBytes);
}

function mayRunInDomain(
  job: WaitingJob,
  failureDomain: string,
  input: BatchPlanInput,
): boolean {
  if (job.failureDomain === undefined || job.failureDomain === failureDomain)
    return true;
  if (job.crossingBytes < SMALL_CROSSING_BYTES) return true;
  if (!input.domainsInUse.has(job.failureDomain)) return true;
  const workMs = computeWorkMs(job, input);
  const spareMs = job.dueAtMs - job.reserveMs - job.queuedAtMs - workMs;
  return input.nowMs - job.queuedAtMs >= DOMAIN_WAIT_SHARE * spareMs;
}

// Keeps a job off a slow upstream that would make it late, if an upstream of normal speed,
// busy now, could still serve it in time.
function mayRunOnUpstream(
  job: WaitingJob,
  {slowness}: FreeUpstream,
  input: BatchPlanInput,
): boolean {
  if (slowness < SLOW_FACTOR || !input.hasNormalSpeedUpstream) return true;
  if (isLate(job, 1, input)) return true;
  return !isLate(job, slowness, input);
}

function chooseUpstreams(
  input: BatchPlanInput,
  waiting: readonly WaitingJob[],
): FreeUpstream[] {
  const longestWaitMs = Math.max(
    0,
    ...waiting.map(job => input.nowMs - job.queuedAtMs),
  );
  const isBacklogged = longestWaitMs >= SLOW_UPSTREAM_WAIT_MS;
  const isOnlyUpstream = input.upstreamsInUse <= 1;
  return input.free
    .filter(
      ({slowness}) => slowness < SLOW_FACTOR || isBacklogged || isOnlyUpstream,
    )
    .sort(compareUpstreams);
}

function listByUrgency(input: BatchPlanInput): WaitingJob[] {
  return input.jobs
    .map(job => ({job, rank: computeRank(job, input)}))
    .sort((left, right) => left.rank - right.rank)
    .map(({job}) => job);
}

// Late jobs rank last, so that they do not delay jobs that can still be in time.
function computeRank(job: WaitingJob, input: BatchPlanInput): number {
  const latePenaltyMs = isLate(job, 1, input) ? computeLatePenaltyMs(job) : 0;
  return job.dueAtMs + job.priority * PRIORITY_STEP_MS + latePenaltyMs;
}

function computeLatePenaltyMs({hasInputs}: WaitingJob): number {
  return hasInputs ? LATE_PENALTY_MS : LATE_WITHOUT_INPUTS_PENALTY_MS;
}

// Whether a call with only this job, started now, would end after the due time.
function isLate(
  job: WaitingJob,
  slowness: number,
  input: BatchPlanInput,
): boolean {
  return input.nowMs + computeWorkMs(job, input) * slowness > job.dueAtMs;
}

// Computes the milliseconds of a call with only this job.
function computeWorkMs(job: WaitingJob, {capacity}: BatchPlanInput): number {
  return capacity.callMs + job.pieceMs * job.pieceCount;
}

function compareUpstreams(left: FreeUpstream, right: FreeUpstream): number {
  const bySpeed = Math.round(left.slowness) - Math.round(right.slowness);
  return bySpeed || left.idleSinceMs - right.idleSinceMs;
}
