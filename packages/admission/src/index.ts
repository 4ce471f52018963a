/** Pure admission decisions: queue order, adaptive limits, deadlines, limit shares and retries. */
export {
  chooseNextWaiting,
  DEFAULT_QUEUE_POLICY,
  type InServiceCount,
  type SlotLimits,
  type QueuePolicy,
  type WaitingWork,
} from './stage-queue.ts';
export {
  AdaptiveLimit,
  type AdaptiveLimitOptions,
  type LimitSample,
} from './adaptive-limit.ts';
export {
  judgeDeadline,
  type DeadlineInput,
  type DeadlineVerdict,
} from './deadline.ts';
export {DurationEstimator} from './duration-estimator.ts';
export {RetryBudget} from './retry-budget.ts';
export {computeShares, type LimitDemand, type LimitShare} from './shares.ts';
export {
  judgeRetry,
  type RetryInput,
  type RetryVerdict,
} from './retry-decision.ts';
