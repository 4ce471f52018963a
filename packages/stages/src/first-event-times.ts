import type {Clock} from '@hollowstack/clock';

/** What was seen of a route, each value weighted by its age. */
interface Sums {
  weight: number;
  tokens: number;
  ms: number;
  tokensSquared: number;
  tokensMs: number;
  recordedAtMs: number;
}

/** Share of its weight that an observation keeps with each one that follows. */
const DECAY = 0.97;
/**
 * Observations, by weight, before a slope is taken from them; about half of what the
 * decay lets add up.
 */
const MIN_WEIGHT = 12;
/**
 * Milliseconds after which what was seen counts half: a route that is refused because it
 * was slow must get its next try.
 */
const HALF_LIFE_MS = 4000;
/**
 * Milliseconds a token at most: an engine that reads 5 tokens in a millisecond would be
 * ten times slower than any known.
 */
const MAX_MS_PER_TOKEN = 0.2;

/**
 * Learns how long requests take from their send to the first event, by the tokens of
 * their prompts that no other request shares: a prompt of 50,000 tokens is read for half
 * a second where the mean of its route is a tenth of that. A line fitted to weighted
 * squares, by route.
 */
export class FirstEventTimes {
  private readonly clock: Clock;
  private readonly sums = new Map<string, Sums>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Notes how long a request took to its first event. */
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
   * Predicts milliseconds from the send of a request to its first event.
   *
   * @param defaultMs Returned for a route of which nothing was seen, or long ago.
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

  /** Predicts the same for a request of usual size. */
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
