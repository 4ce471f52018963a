import {listByRendezvous} from '@hollowstack/routing';

/** An upstream that a request could go to. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly capacity: number;
  /** This instance's own requests in progress there. */
  readonly ownInFlight: number;
  /** How long work takes there over what it takes elsewhere. */
  readonly latencyRatio: number;
  /**
   * Whether this instance may send there of its own accord; false while the
   * upstream is cold and this instance's share of what it bears is used up.
   */
  readonly hasSendQuota: boolean;
}

/** What the choice is made from. */
export interface UpstreamChoiceInput {
  readonly candidates: readonly UpstreamCandidate[];
  /** Requests with the same key share the beginning of their prompts. */
  readonly affinityKey: string | undefined;
  /** Failure domain in which the request's inputs lie. */
  readonly failureDomain: string | undefined;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
}

/** Own requests that a shared prompt may bring to its home whatever the others have. */
const MIN_AFFINITY_BOUND = 3;
/**
 * An upstream this much slower than usual is left out while others are
 * there.
 */
const SLOW_LATENCY_RATIO = 2;

/** Chooses the upstream of a request; undefined where there is none. */
export function chooseRequestUpstream(
  input: UpstreamChoiceInput,
): UpstreamCandidate | undefined {
  const {affinityKey, failureDomain} = input;
  const candidates = input.candidates.filter(({hasSendQuota}) => hasSendQuota);
  if (candidates.length === 0) return undefined;
  const near = candidates.filter(
    candidate => candidate.failureDomain === failureDomain,
  );
  const pool = near.length > 0 ? near : candidates;
  const fast = pool.filter(
    ({latencyRatio}) => latencyRatio < SLOW_LATENCY_RATIO,
  );
  const usable = fast.length > 0 ? fast : pool;
  if (affinityKey === undefined) return chooseLeastLoaded(usable, input.random);
  return (
    chooseByAffinity(usable, affinityKey) ??
    chooseLeastLoaded(usable, input.random)
  );
}

function chooseByAffinity(
  candidates: readonly UpstreamCandidate[],
  affinityKey: string,
): UpstreamCandidate | undefined {
  const byId = new Map(candidates.map(candidate => [candidate.id, candidate]));
  const total = candidates.reduce((sum, each) => sum + each.ownInFlight, 0);
  const bound = Math.max(MIN_AFFINITY_BOUND, (2 * total) / candidates.length);
  for (const id of listByRendezvous(affinityKey, [...byId.keys()])) {
    const candidate = byId.get(id)!;
    if (candidate.ownInFlight < bound) return candidate;
  }
  return undefined;
}

function chooseLeastLoaded(
  candidates: readonly UpstreamCandidate[],
  random: () => number,
): UpstreamCandidate {
  const scores = candidates.map(computeLoad);
  const least = Math.min(...scores);
  const tied = candidates.filter((_, index) => scores[index] <= least * 1.05);
  return tied[Math.floor(random() * tied.length)];
}

function computeLoad(candidate: UpstreamCandidate): number {
  const {ownInFlight, capacity, latencyRatio} = candidate;
  return latencyRatio * (1 + ownInFlight / capacity);
}
