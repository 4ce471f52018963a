/** Work that waits for a slot in a pool. */
export interface WaitingWork {
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
}

/** Counts of work in service in the pool, by workspace. */
export interface InServiceCount {
  /** Returns the count of a workspace. */
  getCount(workspace: string): number;
  /** Count over all workspaces. */
  readonly total: number;
}

/** Number of slots in a pool for this instance. */
export interface SlotLimits {
  /** Current value of the adaptive limit. */
  readonly limit: number;
  /** Initial value of the adaptive limit. */
  readonly initial: number;
}

/** How slots are shared between urgent and other work. */
export interface QueuePolicy {
  /** Work with a priority number up to this one is urgent. */
  readonly maxUrgentPriority: number;
  /**
   * Multiple of the initial slots that urgent work may use; it may exceed the limit, because
   * upstreams run it before other work.
   */
  readonly urgentFactor: number;
  /** Share of the slots that work that is not urgent may use, 0 to 1. */
  readonly unreservedShare: number;
}

/** The policy of all pools. */
export const DEFAULT_QUEUE_POLICY: QueuePolicy = {
  maxUrgentPriority: 2,
  urgentFactor: 3,
  unreservedShare: 0.85,
};

/**
 * Chooses the waiting work to start next: the most urgent priority first, then
 * the workspace with the least work in service, so that no workspace starves
 * another, then the earliest deadline.
 *
 * @returns The index into `waiting`, or -1 if none may start now.
 */
export function chooseNextWaiting(
  waiting: readonly WaitingWork[],
  inService: InServiceCount,
  limits: SlotLimits,
  policy: QueuePolicy,
): number {
  const {limit} = limits;
  const urgentLimit = Math.max(limit, limits.initial * policy.urgentFactor);
  if (inService.total >= urgentLimit) return -1;
  const unreservedLimit = Math.max(
    1,
    Math.floor(limit * policy.unreservedShare),
  );
  let best = -1;
  for (let index = 0; index < waiting.length; index++) {
    const work = waiting[index];
    const isUrgent = work.priority <= policy.maxUrgentPriority;
    if (!isUrgent && inService.total >= unreservedLimit) continue;
    if (best < 0 || isBefore(work, waiting[best], inService)) best = index;
  }
  return best;
}

function isBefore(
  left: WaitingWork,
  right: WaitingWork,
  inService: InServiceCount,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  if (left.workspace !== right.workspace) {
    const leftCount = inService.getCount(left.workspace);
    const rightCount = inService.getCount(right.workspace);
    if (leftCount !== rightCount) return leftCount < rightCount;
  }
  return left.deadlineMs < right.deadlineMs;
}
