import {match} from 'ts-pattern';
import {listByRendezvous} from './rendezvous.ts';

/** One upstream that could take the work, as a selector sees it. */
export interface Candidate {
  readonly id: string;
  /** This instance's own requests in progress there. */
  readonly ownInFlight: number;
  /** Predicted milliseconds for this piece of work, cache and slow start counted in. */
  readonly predictedMs: number;
}

/** What a choice is made from. */
export interface ChoiceInput {
  /** At least one. */
  readonly candidates: readonly Candidate[];
  /** Work with the same key likely shares a prompt prefix. */
  readonly affinityKey: string | undefined;
}

/** The upstream chosen, and why. */
export interface Choice {
  readonly id: string;
  readonly reason: string;
  /** Ids that were compared, the chosen one among them. */
  readonly compared: readonly string[];
}

/** Chooses one upstream among candidates. */
export abstract class UpstreamSelector {
  /** @returns undefined where there are no candidates. */
  chooseUpstream(input: ChoiceInput): Choice | undefined {
    if (input.candidates.length === 0) return undefined;
    return this.chooseCandidate(input);
  }

  protected abstract chooseCandidate(input: ChoiceInput): Choice;
}

/** The names under which selectors can be asked for. */
export const SELECTOR_NAMES = [
  'predicted-finish',
  'least-in-flight',
  'round-robin',
  'random',
] as const;
/** The name of a selector. */
export type SelectorName = (typeof SELECTOR_NAMES)[number];

/** Creates a selector by name. */
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

/** Baseline: any candidate, evenly. */
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

/** Baseline: one after the other. */
export class RoundRobinSelector extends UpstreamSelector {
  private nextIndex = 0;

  protected chooseCandidate({candidates}: ChoiceInput): Choice {
    const {id} = candidates[this.nextIndex++ % candidates.length];
    return {id, reason: 'round robin', compared: [id]};
  }
}

/** Baseline: fewest requests of this instance in progress; ties at random. */
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

// Two homes for each prefix: one would make a popular prefix a hot spot, more
// would cost each engine's cache room.
const AFFINITY_CANDIDATES = 2;
/** Candidates that are drawn and compared. */
const RANDOM_CANDIDATES = 8;
/** Pools up to this size are compared whole. */
const SMALL_POOL_SIZE = 16;
/** Predictions that differ by less than this factor are alike. */
const NEAR_TIE_FACTOR = 1.02;

/**
 * Chooses the earliest predicted finish: among all of a small pool, else among
 * the homes of the work's prefix and some at random. Alike ones are drawn at
 * random, or instances that know the same would all choose the same.
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
