/** One piece of work that waits for a place in a pool. */
export interface WaitingWork {
  readonly workspace: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
}

/** How much work of a workspace is in service in the pool. */
export interface InServiceCount {
  /** Returns the count of a workspace. */
  getCount(workspace: string): number;
  /** Count over all workspaces. */
  readonly total: number;
}

/** How many places there are. */
export interface SlotLimits {
  /** Places now, as the adaptive limit has it. */
  readonly limit: number;
  /** Places that the limit began with. */
  readonly initial: number;
}

/** How places are given out. */
export interface QueuePolicy {
  /** Work with a priority number up to this one is urgent. */
  readonly maxUrgentPriority: number;
  /** Factor on the initial places for urgent work: upstreams order it before the rest. */
  readonly urgentFactor: number;
  /** Share of the places that other work may use, 0 to 1. */
  readonly unreservedShare: number;
}

/** The policy that the daemon uses. */
export const DEFAULT_QUEUE_POLICY: QueuePolicy = {
  maxUrgentPriority: 2,
  urgentFactor: 3,
  unreservedShare: 0.85,
};

/**
 * Chooses which waiting work goes next: the best priority; among its equals
 * the workspace with the least in service, so that none starves another; then
 * the earliest deadline.
 *
 * @returns The index into `waiting`, or -1 where none may go now.
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
