import {listByRendezvous} from '@hollowstack/routing';

/** An upstream that a request may be sent to. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly capacity: number;
  /** Number of this instance's own requests in flight to the upstream. */
  readonly ownInFlight: number;
  /** Latency of the upstream relative to the mean of its service; values close to 1 become 1. */
  readonly latencyRatio: number;
  /**
   * Whether this instance may send a request without the coordinator's assignment; false
   * while the upstream is cold and this instance's share of its capacity is used up.
   */
  readonly hasSendQuota: boolean;
}

/** Inputs of chooseRequestUpstream. */
export interface UpstreamChoiceInput {
  readonly candidates: readonly UpstreamCandidate[];
  /** Equal for requests whose prompts share a prefix; undefined if nothing is shared. */
  readonly affinityKey: string | undefined;
  /** Failure domain that stores most of the request's inputs. */
  readonly failureDomain: string | undefined;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
}

/** Number of own in-flight requests up to which affinity overrides load balancing. */
const MIN_AFFINITY_BOUND = 3;
/** Latency ratio from which an upstream is excluded while faster ones are available. */
const SLOW_LATENCY_RATIO = 2;

/**
 * Chooses the upstream of a request: by affinity within a load bound, else the least loaded
 * one. Returns undefined if there is no candidate with send quota.
 */
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
