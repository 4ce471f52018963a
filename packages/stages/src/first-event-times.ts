import type {Clock} from '@hollowstack/clock';

/** Sums over the observations of a route, weighted by recency. */
interface Sums {
  weight: number;
  tokens: number;
  ms: number;
  tokensSquared: number;
  tokensMs: number;
  recordedAtMs: number;
}

/** Factor on the weight of earlier observations with each new one. */
const DECAY = 0.97;
/**
 * Minimum total weight of the observations before a slope is fitted; a bit more than a third
 * of the maximum that the decay allows.
 */
const MIN_WEIGHT = 12;
/**
 * Half-life of the learned times without new observations: a route whose requests are refused
 * because it was slow must be tried again.
 */
const HALF_LIFE_MS = 4000;
/**
 * Upper bound of the slope: an engine that reads only 5 tokens per millisecond would be ten
 * times slower than any known one.
 */
const MAX_MS_PER_TOKEN = 0.2;

/**
 * Learns the time from the send of a request to its first event as a function of the prompt
 * tokens that it shares with no other request: a prompt of 50,000 tokens takes half a second
 * on a route whose mean is a tenth of that. Fits a line to each route by weighted least
 * squares.
 */
export class FirstEventTimes {
  private readonly clock: Clock;
  private readonly sums = new Map<string, Sums>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records the time from the send of a request to its first event. */
  recordFirstEvent(route: string, ownTokens: number, firstMs: number): void {
    const before = this.sums.get(route);
    const keep = before ? DECAY : 0;
    const add = (sum: number | undefined, value: number) =>
      (sum ?? 0) * keep + value;
    this.sums.set(route, {
      weight: add(before?.weight, 1),
      tokens: add(before?.tokens, ownTokens),
      ms: add(before?.ms, firstMs),
      tokensSquared: add(before?.tokensSquared, ownTokens * ownTokens),
      tokensMs: add(before?.tokensMs, ownTokens * firstMs),
      recordedAtMs: this.clock.getNow(),
    });
  }

  /**
   * Predicts the milliseconds from the send of a request to its first event.
   *
   * @param defaultMs Returned for a route without observations; old observations decay to it.
   */
  predictMs(route: string, ownTokens: number, defaultMs: number): number {
    const seen = this.sums.get(route);
    if (!seen) return defaultMs;
    const meanTokens = seen.tokens / seen.weight;
    const meanMs = seen.ms / seen.weight;
    const slope = computeSlope(seen, meanTokens, meanMs);
    const seenMs = Math.max(0, meanMs + slope * (ownTokens - meanTokens));
    return this.computeFaded(seen, seenMs, defaultMs);
  }

  /** Predicts the same for a request of mean size. */
  predictMeanMs(route: string, defaultMs: number): number {
    const seen = this.sums.get(route);
    if (!seen) return defaultMs;
    return this.computeFaded(seen, seen.ms / seen.weight, defaultMs);
  }

  private computeFaded(
    {recordedAtMs}: Sums,
    seenMs: number,
    defaultMs: number,
  ): number {
    const ageMs = this.clock.getNow() - recordedAtMs;
    return defaultMs + (seenMs - defaultMs) * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}

function computeSlope(
  {weight, tokensSquared, tokensMs}: Sums,
  meanTokens: number,
  meanMs: number,
): number {
  const variance = tokensSquared / weight - meanTokens * meanTokens;
  if (weight < MIN_WEIGHT || variance < 1) return 0;
  const covariance = tokensMs / weight - meanTokens * meanMs;
  return Math.min(MAX_MS_PER_TOKEN, Math.max(0, covariance / variance));
}
