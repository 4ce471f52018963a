/** An engine as the choice sees it. */
export interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Tokens of prompts that are assigned to it and not read yet. */
  readonly backlogTokens: number;
  /** Requests that are assigned to it and not over. */
  readonly activeCount: number;
  /** Requests that it works on at a time. */
  readonly capacity: number;
  /** Milliseconds for which a request occupies one of its slots, where it was learnt. */
  readonly slotOccupancyMs: number | undefined;
  /** Tokens of this prompt, from its beginning, that it keeps. */
  readonly cachedTokens: number;
  /** How long work takes there over what it takes elsewhere. */
  readonly slowness: number;
  /** Whether it has started a short time ago and bears little yet. */
  readonly isCold: boolean;
  /** Place of the engine in the ranking of this prompt; 0 for its home. */
  readonly affinityRank: number;
}

/** What a choice is made from. */
export interface AssignmentInput {
  readonly engines: readonly EngineCandidate[];
  readonly promptTokens: number;
  /** Tokens of the prompt that other requests share. */
  readonly sharedTokens: number;
  /** Bytes of inputs by failure domain. */
  readonly inputBytes: ReadonlyMap<string, number>;
  /** Prompt tokens that a usual engine reads in a millisecond. */
  readonly tokensPerMs: number;
  /** Milliseconds in which the first event should come, where that matters. */
  readonly dueInMs?: number;
}

/** The engine chosen, and what decided. */
export interface AssignmentChoice {
  readonly id: string;
  readonly failureDomain: string;
  /** Milliseconds to the first event, as predicted. */
  readonly predictedMs: number;
  readonly costMs: number;
}

// What is paid beside the time itself, as milliseconds that one would wait
// rather than pay it.
const RECOMPUTE_MS_PER_TOKEN = 0.03;
const TRANSFER_MS_PER_BYTE = 50 / 1_000_000;
/** Milliseconds by which a lower place in the prompt's ranking counts as worse. */
const RANK_PENALTY_MS_PER_SHARED_TOKEN = 0.0015;
/**
 * Milliseconds by which each request in progress slows an engine down; a
 * step of an engine with some ten of them.
 */
const ACTIVE_REQUEST_MS = 1.5;
/**
 * Milliseconds that an engine counts as worse whose slots and queue are full; longer than
 * any usual prompt takes to read.
 */
const FULL_PENALTY_MS = 2000;
/**
 * Requests that wait at an engine for a slot, at most: engines queue a few and answer
 * the next ones that they are full.
 */
const MAX_QUEUED = 2;

/**
 * Milliseconds that one would rather wait at a warm engine than send to a cold
 * one: kept parts and short queues do not pull work there, and what the warm ones
 * could serve only late still goes. A quarter of the tightest objective seen.
 */
const COLD_PENALTY_MS = 250;

/**
 * What a millisecond counts that a request can spare. Not nothing: prompts that wait hold
 * up those behind them.
 */
const ON_TIME_WEIGHT = 0.3;
/** What a millisecond counts beyond the time in which the first event should come. */
const LATE_WEIGHT = 3;
/** Part of the time left that is not counted on: readings take up to this longer. */
const SAFETY_MARGIN_SHARE = 0.25;

/** Chooses the engine with the least cost in time, in reading again and in moving. */
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

// Slots come free one after the other: one of 12 that are held for 1.8 s in 150 ms, which
// is less than reading a shared part again elsewhere and leaving a copy there.
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

// A request that has time to spare waits at the engine that keeps its prompt, and one
// that has none goes where it begins first.
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
