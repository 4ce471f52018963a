/** What is known of one upstream's health; a plain value that transitions replace. */
export interface HealthState {
  readonly state: 'healthy' | 'out' | 'trial' | 'leaving';
  /** Failures in a row of real work; only a success of real work clears it. */
  readonly consecutiveFailures: number;
  /** How often it was taken out since its last success. */
  readonly ejectionCount: number;
  /** Milliseconds since the epoch; when a trial may be made. */
  readonly nextTrialAtMs: number;
  /** When it last came back, for the slow start; 0 for never. */
  readonly recoveredAtMs: number;
  /** When it was last said to be leaving. */
  readonly leavingAtMs: number;
  /** Until when it has asked for no work; 0 where it has not. */
  readonly backOffUntilMs: number;
}

/** Thresholds and times of the health decisions. */
export interface HealthPolicy {
  /** Failures in a row after which an upstream is taken out. */
  readonly failuresToEject: number;
  /** Milliseconds before the first trial; doubled with each failed one. */
  readonly trialDelayMs: number;
  readonly maxTrialDelayMs: number;
  /** Milliseconds over which an upstream that came back gets its full share. */
  readonly slowStartMs: number;
  /** Whether an answered load report brings an upstream back; a baseline. */
  readonly reportRestores: boolean;
}

/** The policy that the daemon uses. */
export const DEFAULT_HEALTH_POLICY: HealthPolicy = {
  failuresToEject: 3,
  trialDelayMs: 1000,
  maxTrialDelayMs: 30_000,
  slowStartMs: 5000,
  reportRestores: false,
};

/**
 * How a piece of work failed. `refused`: the connection was refused, which
 * proves at once that nobody serves there; `broken`: anything else.
 */
export type FailureKind = 'refused' | 'broken';

/** Returns the state of an upstream that nothing is known against. */
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

/** Returns whether new work may go to the upstream now. */
export function isCandidate(health: HealthState, nowMs: number): boolean {
  if (health.state === 'healthy') return true;
  return health.state === 'out' && nowMs >= health.nextTrialAtMs;
}

/** Work that goes to an upstream which is out is its trial: one at a time. */
export function recordTrial(health: HealthState): HealthState {
  if (health.state !== 'out') return health;
  return {...health, state: 'trial'};
}

/** Real work succeeded. A leaving upstream that finishes its work stays leaving. */
export function recordSuccess(health: HealthState, nowMs: number): HealthState {
  if (health.state === 'leaving') return {...health, consecutiveFailures: 0};
  const hasRecovered = health.state !== 'healthy';
  return {
    ...createHealthyState(),
    recoveredAtMs: hasRecovered ? nowMs : health.recoveredAtMs,
  };
}

/** Real work failed. */
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
  // Work that was under way when the upstream went out tells nothing new, and
  // must not push the trial further off.
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

/** The upstream or the platform says that it is leaving. */
export function recordLeaving(health: HealthState, nowMs: number): HealthState {
  return {...health, state: 'leaving', leavingAtMs: nowMs};
}

/**
 * The upstream turned work away and named a time for which it wants none. Whether it
 * is full or leaves is not known until it reports; neither way it gets work before.
 */
export function recordBackOff(
  health: HealthState,
  forMs: number,
  nowMs: number,
): HealthState {
  const backOffUntilMs = Math.max(health.backOffUntilMs, nowMs + forMs);
  return {...recordLeaving(health, nowMs), backOffUntilMs};
}

// Clocks of upstreams and instances differ by less than this.
const MAX_CLOCK_SKEW_MS = 500;

/**
 * A report says that the upstream was live at a time. One that was leaving
 * becomes a candidate again by way of a trial, if the report is fresher than
 * the word that it leaves; one that is out stays out, because a wedged
 * upstream answers its reports as well.
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

/** Returns the share of its full work that an upstream gets, from 0.2 up to 1. */
export function getSlowStartFactor(
  health: HealthState,
  policy: HealthPolicy,
  nowMs: number,
): number {
  if (health.recoveredAtMs === 0) return 1;
  const elapsedShare = (nowMs - health.recoveredAtMs) / policy.slowStartMs;
  return Math.min(1, 0.2 + 0.8 * Math.max(0, elapsedShare));
}
