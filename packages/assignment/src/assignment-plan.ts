/** An engine as the choice sees it. */
export interface EngineView {
  readonly id: string;
  readonly failureDomain: string;
  /** Tokens of prompts that are assigned to it and not read yet. */
  readonly backlogTokens: number;
  /** Requests that are assigned to it and not over. */
  readonly activeCount: number;
  /** Requests that it works on at a time. */
  readonly capacity: number;
  /** Tokens of this prompt, from its beginning, that it keeps. */
  readonly keptTokens: number;
  /** How long work takes there over what it takes elsewhere. */
  readonly slowness: number;
  /** Whether it has started a short time ago and bears little yet. */
  readonly isCold: boolean;
  /** Place of the engine in the ranking of this prompt; 0 for its home. */
  readonly homeRank: number;
}

/** What a choice is made from. */
export interface AssignmentInput {
  readonly engines: readonly EngineView[];
  readonly promptTokens: number;
  /** Tokens of the prompt that other requests share. */
  readonly sharedTokens: number;
  /** Bytes of inputs by failure domain. */
  readonly inputBytes: ReadonlyMap<string, number>;
  /** Prompt tokens that a usual engine reads in a millisecond. */
  readonly tokensPerMs: number;
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
const REREAD_MS_PER_TOKEN = 0.03;
const CROSSING_MS_PER_BYTE = 50 / 1_000_000;
/** Milliseconds by which a lower place in the prompt's ranking counts as worse. */
const RANK_MS_PER_SHARED_TOKEN = 0.0015;
/**
 * Milliseconds by which each request in progress slows an engine down; a
 * step of an engine with some ten of them. A guess from the sheets.
 */
const ACTIVE_MS = 1.5;
/**
 * Milliseconds that a full engine counts as worse; longer than any usual
 * prompt takes to read. A guess.
 */
const FULL_MS = 2000;

/**
 * Milliseconds that one would rather wait at a warm engine than send to a cold
 * one: kept parts and short queues do not pull work there, and what the warm ones
 * could serve only late still goes. A quarter of the tightest objective seen.
 */
const COLD_MS = 250;

/** Chooses the engine with the least cost in time, in reading again and in moving. */
export function chooseEngine(
  input: AssignmentInput,
): AssignmentChoice | undefined {
  const mostKept = Math.max(0, ...input.engines.map(each => each.keptTokens));
  let best: AssignmentChoice | undefined;
  for (const engine of input.engines) {
    const choice = computeChoice(engine, input, mostKept);
    if (!best || choice.costMs < best.costMs) best = choice;
  }
  return best;
}

function computeChoice(
  engine: EngineView,
  input: AssignmentInput,
  mostKept: number,
): AssignmentChoice {
  const unread = Math.max(0, input.promptTokens - engine.keptTokens);
  const readMs = (engine.backlogTokens + unread) / input.tokensPerMs;
  const isFull = engine.activeCount >= engine.capacity;
  const predictedMs =
    (readMs + engine.activeCount * ACTIVE_MS) * engine.slowness +
    (isFull ? FULL_MS : 0);
  const rereadTokens = Math.min(
    Math.max(0, mostKept - engine.keptTokens),
    input.sharedTokens,
  );
  const costMs =
    predictedMs +
    rereadTokens * REREAD_MS_PER_TOKEN +
    countCrossingBytes(engine.failureDomain, input) * CROSSING_MS_PER_BYTE +
    (engine.isCold ? COLD_MS : 0) +
    engine.homeRank * input.sharedTokens * RANK_MS_PER_SHARED_TOKEN;
  return {
    id: engine.id,
    failureDomain: engine.failureDomain,
    predictedMs,
    costMs,
  };
}

function countCrossingBytes(
  failureDomain: string,
  input: AssignmentInput,
): number {
  let bytes = 0;
  for (const [inputDomain, inputBytes] of input.inputBytes) {
    if (inputDomain !== failureDomain) bytes += inputBytes;
  }
  return bytes;
}
