import type {Clock} from '@hollowstack/clock';

/** Sums over the observations of a route, weighted by recency. */
interface WeightedSums {
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
  private readonly sums = new Map<string, WeightedSums>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records the time from the send of a request to its first event. */
  recordFirstEvent(route: string, ownTokens: number, firstMs: number): void {
    const previous = this.sums.get(route);
    const decay = previous ? DECAY : 0;
    const add = (sum: number | undefined, value: number) =>
      (sum ?? 0) * decay + value;
    this.sums.set(route, {
      weight: add(previous?.weight, 1),
      tokens: add(previous?.tokens, ownTokens),
      ms: add(previous?.ms, firstMs),
      tokensSquared: add(previous?.tokensSquared, ownTokens * ownTokens),
      tokensMs: add(previous?.tokensMs, ownTokens * firstMs),
      recordedAtMs: this.clock.getNow(),
    });
  }

  /**
   * Predicts the milliseconds from the send of a request to its first event.
   *
   * @param defaultMs Returned for a route without observations; old observations decay to it.
   */
  predictMs(route: string, ownTokens: number, defaultMs: number): number {
    const sums = this.sums.get(route);
    if (!sums) return defaultMs;
    const meanTokens = sums.tokens / sums.weight;
    const meanMs = sums.ms / sums.weight;
    const slope = computeSlope(sums, meanTokens, meanMs);
    const observedMs = Math.max(0, meanMs + slope * (ownTokens - meanTokens));
    return this.computeDecayedMs(sums, observedMs, defaultMs);
  }

  /** Predicts the same for a request of mean size. */
  predictMeanMs(route: string, defaultMs: number): number {
    const sums = this.sums.get(route);
    if (!sums) return defaultMs;
    return this.computeDecayedMs(sums, sums.ms / sums.weight, defaultMs);
  }

  private computeDecayedMs(
    {recordedAtMs}: WeightedSums,
    observedMs: number,
    defaultMs: number,
  ): number {
    const ageMs = this.clock.getNow() - recordedAtMs;
    return defaultMs + (observedMs - defaultMs) * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}

function computeSlope(
  {weight, tokensSquared, tokensMs}: WeightedSums,
  meanTokens: number,
  meanMs: number,
): number {
  const variance = tokensSquared / weight - meanTokens * meanTokens;
  if (weight < MIN_WEIGHT || variance < 1) return 0;
  const covariance = tokensMs / weight - meanTokens * meanMs;
  return Math.min(MAX_MS_PER_TOKEN, Math.max(0, covariance / variance));
}
