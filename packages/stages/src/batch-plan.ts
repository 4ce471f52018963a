import type {StageCapacity} from '@hollowstack/routes';
import {listCompatible, type Isolation} from './isolation.ts';

/** A job that waits, as the plan sees it. */
export interface WaitingJob {
  readonly jobId: string;
  /** Pieces that no upstream was asked for yet. */
  readonly pieceCount: number;
  /** Milliseconds that one of its pieces takes. */
  readonly pieceMs: number;
  readonly resultBytes: number;
  readonly queuedAtMs: number;
  /** When the request's objective ends. */
  readonly dueAtMs: number;
  readonly priority: number;
  /** Whether results of earlier stages are kept for it. */
  readonly hasInputs: boolean;
  /** Milliseconds before its due time that others' items should leave it. */
  readonly reserveMs: number;
  /** Failure domain in which its inputs lie or its results will be read. */
  readonly failureDomain: string | undefined;
  readonly crossingBytes: number;
  /** Set where a call for the job broke, or upstreams crashed under its request. */
  readonly isolation: Isolation | undefined;
}

/** An upstream that can take a call now, as the plan sees it. */
export interface FreeUpstream {
  readonly id: string;
  readonly failureDomain: string;
  /** Bytes of results that it can take in. */
  readonly freeBytes: number;
  /** How long work takes there over what it takes elsewhere. */
  readonly slowness: number;
  readonly idleSinceMs: number;
}

/** Some pieces of a job in a call. */
export interface BatchPart {
  readonly jobId: string;
  readonly pieceCount: number;
}

/** One call to make. */
export interface Batch {
  readonly upstreamId: string;
  readonly parts: readonly BatchPart[];
}

/** What a plan for one service is made from. */
export interface BatchPlanInput {
  readonly nowMs: number;
  readonly capacity: StageCapacity;
  readonly jobs: readonly WaitingJob[];
  readonly free: readonly FreeUpstream[];
  /** Failure domains that have an upstream in use, busy ones counted. */
  readonly domainsInUse: ReadonlySet<string>;
  /** Upstreams in use, busy ones counted. */
  readonly upstreamsInUse: number;
  /** Whether one of them, busy or not, works at about the usual speed. */
  readonly hasNormalSpeedUpstream: boolean;
}

/** Below this, results may be read from another failure domain at once. */
const SMALL_CROSSING_BYTES = 200_000;
/**
 * Share of its spare time that a job waits for an upstream in its own domain. A longer
 * wait costs callers their time, a shorter one bytes between domains; one that has next
 * to none to spare, as a request with a large prompt, takes what is free. With a share of
 * all its time left such a job lost 70 ms of 600 in the mean.
 */
const DOMAIN_PATIENCE = 0.35;
/**
 * Share of a call's fixed time after which a job has waited for long: several upstreams
 * of any domain have come free meanwhile, and one of its own in the mean.
 */
const LONG_WAIT_SHARE = 0.5;
/** An upstream this much slower is used only where the others cannot keep up. */
export const SLOW_FACTOR = 2;
/**
 * Milliseconds that work has waited when slow upstreams are used as well;
 * about one call.
 */
const SLOW_RESERVE_WAIT_MS = 200;
/** Milliseconds by which one step of priority goes before a later due time. */
const PRIORITY_STEP_MS = 300;
/** Puts jobs that can no longer be in time behind all that still can. */
const LATE_MS = 100_000;
/**
 * Puts late jobs whose earlier stages have not run behind those whose have: what these
 * still take is less, and while they wait their inputs fill memory that others lack.
 */
const LATE_WITHOUT_INPUTS_MS = 2 * LATE_MS;

/**
 * Plans the calls of one service: the most urgent jobs first, each whole in one
 * call where that can be, in the failure domain that its data lies in, and
 * spread over the free upstreams.
 */
export function assembleBatches(input: BatchPlanInput): Batch[] {
  const {capacity} = input;
  const waiting = listByUrgency(input);
  const left = new Map(waiting.map(job => [job.jobId, job.pieceCount]));
  const free = chooseUpstreams(input, waiting);
  const batches: Batch[] = [];
  free.forEach((upstream, index) => {
    const eligible = listCompatible(
      listEligible(waiting, left, upstream, input),
    );
    if (eligible.length === 0) return;
    const pieces = eligible.reduce((sum, job) => sum + left.get(job.jobId)!, 0);
    const share = Math.ceil(pieces / (free.length - index));
    const size = Math.min(capacity.batchSize, share);
    const parts = assembleBatch(eligible, left, {
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

// Jobs whose data lies in the upstream's domain go first. While a whole call's items wait,
// those of other domains that have waited for long fill what is left of the call: an
// upstream that stood idle or worked on a few items for its domain's sake cost a sixth of
// a service in bursts. On calm days, when a call's items wait for a moment only, it would
// cost six times the bytes between domains.
function listEligible(
  waiting: readonly WaitingJob[],
  left: ReadonlyMap<string, number>,
  upstream: FreeUpstream,
  input: BatchPlanInput,
): WaitingJob[] {
  const usable = waiting.filter(
    job => left.get(job.jobId)! > 0 && mayRunOn(job, upstream, input),
  );
  const isNear = (job: WaitingJob) =>
    mayRunIn(job, upstream.failureDomain, input);
  const near = usable.filter(isNear);
  const pieces = usable.reduce((sum, job) => sum + left.get(job.jobId)!, 0);
  if (pieces < input.capacity.batchSize) return near;
  const longMs = LONG_WAIT_SHARE * input.capacity.callMs;
  const far = usable.filter(
    job => !isNear(job) && input.nowMs - job.queuedAtMs >= longMs,
  );
  return [...near, ...far];
}

interface BatchBounds {
  /** Pieces aimed at. */
  readonly size: number;
  /** Pieces that no call may exceed. */
  readonly maxSize: number;
  /** Whether more waits than fits in the calls at hand. */
  readonly maySplit: boolean;
  readonly freeBytes: number;
  readonly startedAtMs: number;
  /** Milliseconds of a call beside those of its pieces. */
  readonly callMs: number;
}

function assembleBatch(
  jobs: readonly WaitingJob[],
  left: Map<string, number>,
  bounds: BatchBounds,
): BatchPart[] {
  const parts: BatchPart[] = [];
  let pieces = 0;
  let bytes = 0;
  let workMs = 0;
  let spareMs = Infinity;
  for (const job of jobs) {
    if (pieces >= bounds.size) break;
    const wanted = left.get(job.jobId)!;
    const room = countRoom(job, bounds.freeBytes - bytes);
    const fitting = Math.min(wanted, room, bounds.maxSize - pieces);
    if (fitting <= 0) continue;
    // Otherwise a job is only split where a call of its own would not hold it.
    if (fitting < wanted && parts.length > 0 && !bounds.maySplit) continue;
    const addedMs = fitting * job.pieceMs;
    if (!bounds.maySplit && workMs + addedMs > spareMs) continue;
    workMs += addedMs;
    spareMs = Math.min(spareMs, computeSpareMs(job, workMs, bounds));
    parts.push({jobId: job.jobId, pieceCount: fitting});
    left.set(job.jobId, wanted - fitting);
    pieces += fitting;
    bytes += fitting * job.resultBytes;
  }
  return parts;
}

// Each piece makes the call longer for all in it: one with 25 pieces of 8 ms takes 446 ms
// where one with two takes 257, which is what a request with a large prompt cannot wait.
// One that is late already holds up nobody, and where more waits than fits in the calls
// at hand, full calls serve more.
// What is behind the call takes up to a fifth longer than predicted, which is the reserve.
function computeSpareMs(
  job: WaitingJob,
  workMs: number,
  {startedAtMs, callMs}: BatchBounds,
): number {
  const leftMs = job.dueAtMs - startedAtMs - callMs;
  if (leftMs < workMs) return Infinity;
  return Math.max(workMs, leftMs - job.reserveMs);
}

function countRoom(job: WaitingJob, freeBytes: number): number {
  if (job.resultBytes <= 0) return Infinity;
  return Math.floor(freeBytes / job.resultBytes);
}

function mayRunIn(
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
  return input.nowMs - job.queuedAtMs >= DOMAIN_PATIENCE * spareMs;
}

// On a slow upstream a job would be late that another one, busy now, could
// still serve in time.
function mayRunOn(
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
  const isPressed = longestWaitMs >= SLOW_RESERVE_WAIT_MS;
  const isOnly = input.upstreamsInUse <= 1;
  return input.free
    .filter(({slowness}) => slowness < SLOW_FACTOR || isPressed || isOnly)
    .sort(compareUpstreams);
}

function listByUrgency(input: BatchPlanInput): WaitingJob[] {
  return input.jobs
    .map(job => ({job, rank: computeRank(job, input)}))
    .sort((left, right) => left.rank - right.rank)
    .map(({job}) => job);
}

// Jobs that are late already would hold up those that can still be in time.
function computeRank(job: WaitingJob, input: BatchPlanInput): number {
  const lateMs = isLate(job, 1, input) ? computeLateMs(job) : 0;
  return job.dueAtMs + job.priority * PRIORITY_STEP_MS + lateMs;
}

function computeLateMs({hasInputs}: WaitingJob): number {
  return hasInputs ? LATE_MS : LATE_WITHOUT_INPUTS_MS;
}

// Whether a call of its own, begun now, would end too late for the job.
function isLate(
  job: WaitingJob,
  slowness: number,
  input: BatchPlanInput,
): boolean {
  return input.nowMs + computeWorkMs(job, input) * slowness > job.dueAtMs;
}

// Milliseconds of a call of its own.
function computeWorkMs(job: WaitingJob, {capacity}: BatchPlanInput): number {
  return capacity.callMs + job.pieceMs * job.pieceCount;
}

function compareUpstreams(left: FreeUpstream, right: FreeUpstream): number {
  const bySpeed = Math.round(left.slowness) - Math.round(right.slowness);
  return bySpeed || left.idleSinceMs - right.idleSinceMs;
}
