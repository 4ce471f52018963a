import {match} from 'ts-pattern';
import {listByRendezvous} from './rendezvous.ts';

/** One upstream that could take the work. */
export interface Candidate {
  readonly id: string;
  /** Requests of this instance in flight there. */
  readonly ownInFlight: number;
  /** Predicted milliseconds for this work, including the effects of cache and slow start. */
  readonly predictedMs: number;
}

/** Candidates for one unit of work. */
export interface ChoiceInput {
  /** Upstreams to choose from; may be empty. */
  readonly candidates: readonly Candidate[];
  /** Key of the prompt prefix: work with the same key likely shares it. */
  readonly affinityKey: string | undefined;
}

/** The chosen upstream and the reason. */
export interface Choice {
  readonly id: string;
  readonly reason: string;
  /** Ids of the compared upstreams, including the chosen one. */
  readonly compared: readonly string[];
}

/** Strategy that chooses one upstream among candidates. */
export abstract class UpstreamSelector {
  /** @returns undefined if there are no candidates. */
  chooseUpstream(input: ChoiceInput): Choice | undefined {
    if (input.candidates.length === 0) return undefined;
    return this.chooseCandidate(input);
  }

  protected abstract chooseCandidate(input: ChoiceInput): Choice;
}

/** Names that `createSelector` accepts. */
export const SELECTOR_NAMES = [
  'predicted-finish',
  'least-in-flight',
  'round-robin',
  'random',
] as const;
/** Name that `createSelector` accepts. */
export type SelectorName = (typeof SELECTOR_NAMES)[number];

/**
 * Creates a selector by name.
 *
 * @param random Returns a number from 0 to below 1.
 */
export function createSelector(
  name: SelectorName,
  random: () => number,
): UpstreamSelector {
  return match(name)
    .with('predicted-finish', () => new PredictedFinishSelector(random))
    .with('least-in-flight', () => new LeastInFlightSelector(random))
    .with('round-robin', () => new RoundRobinSelector())
    .with('random', () => new RandomSelector(random))
    .exhaustive();
}

/** Baseline: chooses uniformly at random. */
export class RandomSelector extends UpstreamSelector {
  private readonly random: () => number;

  constructor(random: () => number) {
    super();
    this.random = random;
  }

  protected chooseCandidate({candidates}: ChoiceInput): Choice {
    const {id} = candidates[Math.floor(this.random() * candidates.length)];
    return {id, reason: 'random', compared: [id]};
  }
}

/** Baseline: chooses the candidates in turn. */
export class RoundRobinSelector extends UpstreamSelector {
  private nextIndex = 0;

  protected chooseCandidate({candidates}: ChoiceInput): Choice {
    const {id} = candidates[this.nextIndex++ % candidates.length];
    return {id, reason: 'round robin', compared: [id]};
  }
}

/** Baseline: chooses the fewest in-flight requests of this instance; breaks ties at random. */
export class LeastInFlightSelector extends UpstreamSelector {
  private readonly random: () => number;

  constructor(random: () => number) {
    super();
    this.random = random;
  }

  protected chooseCandidate({candidates}: ChoiceInput): Choice {
    const least = Math.min(...candidates.map(({ownInFlight}) => ownInFlight));
    const tied = candidates.filter(({ownInFlight}) => ownInFlight === least);
    const {id} = tied[Math.floor(this.random() * tied.length)];
    return {
      id,
      reason: `least in flight (${least})`,
      compared: candidates.map(candidate => candidate.id),
    };
  }
}

// Two preferred upstreams for each prefix: one would make a popular prefix a hot
// spot, and more would use up cache memory on each engine.
const AFFINITY_CANDIDATES = 2;
/** Candidates drawn at random for comparison. */
const RANDOM_CANDIDATES = 8;
/** Pools up to this size are compared in full. */
const SMALL_POOL_SIZE = 16;
/** Predictions within this factor of the best one count as tied. */
const NEAR_TIE_FACTOR = 1.02;

/**
 * Chooses the earliest predicted finish, in a small pool among all candidates,
 * otherwise among the preferred upstreams of the prefix and a random sample.
 * Near ties are broken at random, because instances with the same state would
 * otherwise all choose the same upstream.
 */
export class PredictedFinishSelector extends UpstreamSelector {
  private readonly random: () => number;

  constructor(random: () => number) {
    super();
    this.random = random;
  }

  protected chooseCandidate(input: ChoiceInput): Choice {
    const compared = this.chooseCandidatesToCompare(input);
    const leastMs = Math.min(...compared.map(({predictedMs}) => predictedMs));
    const nearTies = compared.filter(
      ({predictedMs}) => predictedMs <= leastMs * NEAR_TIE_FACTOR,
    );
    const best = nearTies[Math.floor(this.random() * nearTies.length)];
    return {
      id: best.id,
      reason: `earliest predicted finish (${best.predictedMs.toFixed(1)} ms)`,
      compared: compared.map(({id}) => id),
    };
  }

  private chooseCandidatesToCompare(input: ChoiceInput): readonly Candidate[] {
    const {candidates, affinityKey} = input;
    if (candidates.length <= SMALL_POOL_SIZE) return candidates;
    const compared = new Set<Candidate>();
    if (affinityKey !== undefined) {
      const byId = new Map(
        candidates.map(candidate => [candidate.id, candidate]),
      );
      const ranked = listByRendezvous(affinityKey, [...byId.keys()]);
      ranked
        .slice(0, AFFINITY_CANDIDATES)
        .forEach(id => compared.add(byId.get(id)!));
    }
    for (let draw = 0; draw < RANDOM_CANDIDATES; draw++) {
      const index = Math.floor(this.random() * candidates.length);
      compared.add(candidates[index]);
    }
    return [...compared];
  }
}
