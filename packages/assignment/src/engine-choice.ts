/** State of one engine at the time of the choice, relative to one request. */
export interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Tokens of assigned prompts that are not prefilled yet. */
  readonly backlogTokens: number;
  /** Assigned requests that have not ended. */
  readonly activeCount: number;
  /** Requests that it processes concurrently. */
  readonly capacity: number;
  /** Mean milliseconds for which a request occupies a slot; undefined before the first sample. */
  readonly slotOccupancyMs: number | undefined;
  /** Tokens of the longest prefix of this prompt in its cache. */
  readonly cachedTokens: number;
  /** Duration of work there relative to other engines; 1 is normal. */
  readonly slowness: number;
  /** Whether it is warming up after a start and has reduced throughput. */
  readonly isCold: boolean;
  /** Rank of the engine for this prompt in rendezvous hashing; 0 is the preferred engine. */
  readonly affinityRank: number;
}

/** One request and the engines that it may go to. */
export interface AssignmentInput {
  readonly engines: readonly EngineCandidate[];
  readonly promptTokens: number;
  /** Tokens of the prompt that other requests share. */
  readonly sharedTokens: number;
  /** Bytes of the request's inputs by the failure domain that stores them. */
  readonly inputBytes: ReadonlyMap<string, number>;
  /** Prefill speed of a typical engine, in prompt tokens per millisecond. */
  readonly tokensPerMs: number;
  /** Milliseconds until the first event is due, negative if overdue; absent if there is no such target. */
  readonly dueInMs?: number;
}

/** The chosen engine with its predicted time and cost. */
export interface AssignmentChoice {
  readonly id: string;
  readonly failureDomain: string;
  /** Predicted milliseconds to the first event. */
  readonly predictedMs: number;
  readonly costMs: number;
}

// Costs other than the request's own time, in the milliseconds of waiting that
// would be accepted to avoid them.
const RECOMPUTE_MS_PER_TOKEN = 0.03;
const TRANSFER_MS_PER_BYTE = 50 / 1_000_000;
/** Penalty per rank below the preferred engine. */
const RANK_PENALTY_MS_PER_SHARED_TOKEN = 0.0015;
/**
 * Delay that each request in progress adds; based on the step time of an engine
 * with about ten requests.
 */
const ACTIVE_REQUEST_MS = 1.5;
/**
 * Penalty of an engine whose slots and queue are full; longer than the prefill
 * of any usual prompt.
 */
const FULL_PENALTY_MS = 2000;
/**
 * Maximum number of requests that wait for a slot at an engine: engines queue
 * a few and refuse further ones as full.
 */
const MAX_QUEUED = 2;

/**
 * Penalty of a cold engine; a quarter of the tightest known objective. Cached
 * parts and short queues alone do not outweigh it, but a cold engine still gets
 * the requests that warm ones would serve late.
 */
const COLD_PENALTY_MS = 250;

/**
 * Weight of a predicted millisecond before the request is late. Above 0,
 * because a prompt that waits delays those queued behind it.
 */
const ON_TIME_WEIGHT = 0.3;
/** Weight of a predicted millisecond by which the request is late. */
const LATE_WEIGHT = 3;
/** Share of the due time held back as a margin: prefills take up to this much longer than predicted. */
const SAFETY_MARGIN_SHARE = 0.25;

/** Chooses the engine with the least cost: time, recomputed prompt tokens, input transfer and penalties. */
export function chooseEngine(
  input: AssignmentInput,
): AssignmentChoice | undefined {
  const maxCachedTokens = Math.max(
    0,
    ...input.engines.map(each => each.cachedTokens),
  );
  let best: AssignmentChoice | undefined;
  for (const engine of input.engines) {
    const choice = computeChoice(engine, input, maxCachedTokens);
    if (!best || choice.costMs < best.costMs) best = choice;
  }
  return best;
}

function computeChoice(
  engine: EngineCandidate,
  input: AssignmentInput,
  maxCachedTokens: number,
): AssignmentChoice {
  const uncachedTokens = Math.max(0, input.promptTokens - engine.cachedTokens);
  const prefillMs = (engine.backlogTokens + uncachedTokens) / input.tokensPerMs;
  const predictedMs =
    (prefillMs + engine.activeCount * ACTIVE_REQUEST_MS) * engine.slowness +
    computeSlotWaitMs(engine);
  const recomputedTokens = Math.min(
    Math.max(0, maxCachedTokens - engine.cachedTokens),
    input.sharedTokens,
  );
  const costMs =
    computeTimeCostMs(predictedMs, input.dueInMs) +
    recomputedTokens * RECOMPUTE_MS_PER_TOKEN +
    countTransferBytes(engine.failureDomain, input) * TRANSFER_MS_PER_BYTE +
    (engine.isCold ? COLD_PENALTY_MS : 0) +
    engine.affinityRank * input.sharedTokens * RANK_PENALTY_MS_PER_SHARED_TOKEN;
  return {
    id: engine.id,
    failureDomain: engine.failureDomain,
    predictedMs,
    costMs,
  };
}

// Slots become free one after the other. With 12 slots that are occupied for 1.8 s
// each, the next is free in 150 ms. Waiting that long costs less than recomputing the
// shared part on another engine, which would also occupy cache memory there.
function computeSlotWaitMs({
  activeCount,
  capacity,
  slotOccupancyMs,
}: EngineCandidate): number {
  const queuedCount = activeCount - capacity;
  if (queuedCount < 0) return 0;
  if (queuedCount >= MAX_QUEUED || slotOccupancyMs === undefined)
    return FULL_PENALTY_MS;
  return Math.min(
    FULL_PENALTY_MS,
    ((queuedCount + 1) * slotOccupancyMs) / capacity,
  );
}

// A request with time to spare waits for the engine that has its prompt cached; an
// urgent or late request goes to the engine that starts it first.
function computeTimeCostMs(
  predictedMs: number,
  dueInMs: number | undefined,
): number {
  if (dueInMs === undefined) return predictedMs;
  const onTimeMs = Math.max(0, dueInMs * (1 - SAFETY_MARGIN_SHARE));
  const lateMs = Math.max(0, predictedMs - onTimeMs);
  return (
    Math.min(predictedMs, onTimeMs) * ON_TIME_WEIGHT + lateMs * LATE_WEIGHT
  );
}

function countTransferBytes(
  failureDomain: string,
  input: AssignmentInput,
): number {
  let bytes = 0;
  for (const [inputDomain, inputBytes] of input.inputBytes) {
    if (inputDomain !== failureDomain) bytes += inputBytes;
  }
  return bytes;
}
