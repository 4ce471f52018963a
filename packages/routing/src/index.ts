/** Pure routing decisions: health and load of upstreams, and the choice among candidates. */
export {
  createHealthyState,
  getSlowStartFactor,
  isCandidate,
  recordBackOff,
  recordFailure,
  recordLeaving,
  recordLiveReport,
  recordSuccess,
  cancelTrial,
  recordTrial,
  DEFAULT_HEALTH_POLICY,
  type FailureKind,
  type HealthPolicy,
  type HealthState,
} from './health.ts';
export {
  computeOccupancy,
  createLoadState,
  getEffectiveSlowness,
  predictDurationMs,
  recordDispatch,
  recordSlowness,
  recordCompletion,
  type LoadState,
} from './load.ts';
export {
  LeastInFlightSelector,
  PredictedFinishSelector,
  RandomSelector,
  RoundRobinSelector,
  UpstreamSelector,
  createSelector,
  SELECTOR_NAMES,
  type Candidate,
  type Choice,
  type ChoiceInput,
  type SelectorName,
} from './selectors.ts';
export {CacheIndex} from './cache-index.ts';
export {chooseSubset, listByRendezvous} from './rendezvous.ts';
export {Slowness} from './slowness.ts';
export {SendPacer} from './send-pacer.ts';
