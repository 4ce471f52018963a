/** Health of one upstream; an immutable value that each transition replaces. */
export interface HealthState {
  /** `out`: ejected; `trial`: ejected, with a trial in flight; `leaving`: gets no new work. */
  readonly state: 'healthy' | 'out' | 'trial' | 'leaving';
  /** Consecutive failures of requests; only a successful request resets the count. */
  readonly consecutiveFailures: number;
  /** Number of ejections since the last success. */
  readonly ejectionCount: number;
  /** When the next trial may be made, in milliseconds since the epoch. */
  readonly nextTrialAtMs: number;
  /** When it last recovered, for the slow start; 0 if never. */
  readonly recoveredAtMs: number;
  /** When it was last reported as leaving. */
  readonly leavingAtMs: number;
  /** End of the back-off that it asked for; 0 if it asked for none. */
  readonly backOffUntilMs: number;
}

/** Thresholds and times of the health transitions. */
export interface HealthPolicy {
  /** Consecutive failures after which an upstream is ejected. */
  readonly failuresToEject: number;
  /** Milliseconds from the first ejection to its trial; doubles with each failed trial. */
  readonly trialDelayMs: number;
  readonly maxTrialDelayMs: number;
  /** Milliseconds over which a recovered upstream ramps up to its full share. */
  readonly slowStartMs: number;
  /** Whether an answered load report ends an ejection; a baseline for comparisons. */
  readonly reportRestores: boolean;
}

/** The policy that applies unless the settings change it. */
export const DEFAULT_HEALTH_POLICY: HealthPolicy = {
  failuresToEject: 3,
  trialDelayMs: 1000,
  maxTrialDelayMs: 30_000,
  slowStartMs: 5000,
  reportRestores: false,
};

/**
 * How a request failed. `refused`: the connection was refused, which proves
 * that no process listens there; `broken`: anything else.
 */
export type FailureKind = 'refused' | 'broken';

/** Returns the initial state, without failures. */
export function createHealthyState(): HealthState {
  return {
    state: 'healthy',
    consecutiveFailures: 0,
    ejectionCount: 0,
    nextTrialAtMs: 0,
    recoveredAtMs: 0,
    leavingAtMs: 0,
    backOffUntilMs: 0,
  };
}

/** Returns whether new work may go to the upstream now, as normal work or as a trial. */
export function isCandidate(health: HealthState, nowMs: number): boolean {
  if (health.state === 'healthy') return true;
  return health.state === 'out' && nowMs >= health.nextTrialAtMs;
}

/** Records that work is sent to an ejected upstream as its trial; one trial runs at a time. */
export function recordTrial(health: HealthState): HealthState {
  if (health.state !== 'out') return health;
  return {...health, state: 'trial'};
}

/** Records that a trial ended without a result; another one may begin at once. */
export function cancelTrial(health: HealthState, nowMs: number): HealthState {
  if (health.state !== 'trial') return health;
  return {...health, state: 'out', nextTrialAtMs: nowMs};
}

/** Records a successful request. A leaving upstream that finishes its work stays leaving. */
export function recordSuccess(health: HealthState, nowMs: number): HealthState {
  if (health.state === 'leaving') return {...health, consecutiveFailures: 0};
  const hasRecovered = health.state !== 'healthy';
  return {
    ...createHealthyState(),
    recoveredAtMs: hasRecovered ? nowMs : health.recoveredAtMs,
  };
}

/** Records a failed request and ejects the upstream if the policy requires it. */
export function recordFailure(
  health: HealthState,
  kind: FailureKind,
  policy: HealthPolicy,
  nowMs: number,
): HealthState {
  const failureStreak = health.consecutiveFailures + 1;
  if (health.state === 'leaving')
    return {...health, consecutiveFailures: failureStreak};
  const isTrial = health.state === 'trial';
  const isEjected =
    isTrial || kind === 'refused' || failureStreak >= policy.failuresToEject;
  if (!isEjected) return {...health, consecutiveFailures: failureStreak};
  // Work that was in flight at the time of the ejection gives no new evidence and
  // must not delay the trial.
  if (health.state === 'out')
    return {...health, consecutiveFailures: failureStreak};
  const delayMs = Math.min(
    policy.maxTrialDelayMs,
    policy.trialDelayMs * 2 ** health.ejectionCount,
  );
  return {
    ...health,
    state: 'out',
    consecutiveFailures: failureStreak,
    ejectionCount: health.ejectionCount + 1,
    nextTrialAtMs: nowMs + delayMs,
  };
}

/** Records that the upstream or the platform reported the upstream as leaving. */
export function recordLeaving(health: HealthState, nowMs: number): HealthState {
  return {...health, state: 'leaving', leavingAtMs: nowMs};
}

/**
 * Records that the upstream refused work and asked for a back-off of `forMs`. It
 * counts as leaving until its next report, because a full upstream cannot be
 * distinguished from a leaving one before that.
 */
export function recordBackOff(
  health: HealthState,
  forMs: number,
  nowMs: number,
): HealthState {
  const backOffUntilMs = Math.max(health.backOffUntilMs, nowMs + forMs);
  return {...recordLeaving(health, nowMs), backOffUntilMs};
}

// Largest expected difference between the clocks of upstreams and instances.
const MAX_CLOCK_SKEW_MS = 500;

/**
 * Records a report that the upstream was live at `reportAtMs`. A leaving upstream
 * becomes a candidate for a trial if the report is newer than the one that it
 * leaves. An ejected upstream stays ejected, because a wedged upstream may still
 * answer report requests.
 */
export function recordLiveReport(
  health: HealthState,
  policy: HealthPolicy,
  reportAtMs: number,
  nowMs: number,
): HealthState {
  if (health.state === 'leaving') {
    const isFresh = reportAtMs > health.leavingAtMs + MAX_CLOCK_SKEW_MS;
    if (!isFresh) return health;
    const trialAtMs = Math.max(nowMs, health.backOffUntilMs);
    return {...health, state: 'out', nextTrialAtMs: trialAtMs};
  }
  if (policy.reportRestores && health.state === 'out') {
    return {...createHealthyState(), recoveredAtMs: nowMs};
  }
  return health;
}

/** Returns the share of its normal load that a recovering upstream gets, from 0.2 to 1. */
export function getSlowStartFactor(
  health: HealthState,
  policy: HealthPolicy,
  nowMs: number,
): number {
  if (health.recoveredAtMs === 0) return 1;
  const elapsedShare = (nowMs - health.recoveredAtMs) / policy.slowStartMs;
  return Math.min(1, 0.2 + 0.8 * Math.max(0, elapsedShare));
}
