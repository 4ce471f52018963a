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

/** How places are given out. */
export interface QueuePolicy {
  /** Work with a priority number up to this one may use every place. */
  readonly reservedPriority: number;
  /** Share of the places that other work may use, 0 to 1. */
  readonly openShare: number;
}

/** The policy that the daemon uses. */
export const DEFAULT_QUEUE_POLICY: QueuePolicy = {
  reservedPriority: 2,
  openShare: 0.85,
};

/**
 * Chooses which waiting work goes next: the best priority; among its equals
 * the workspace with the least in service, so that none starves another; then
 * the earliest deadline.
 *
 * @param limit Places in all.
 * @returns The index into `waiting`, or -1 where none may go now.
 */
export function chooseNextWaiting(
  waiting: readonly WaitingWork[],
  inService: InServiceCount,
  limit: number,
  policy: QueuePolicy,
): number {
  if (inService.total >= limit) return -1;
  const openLimit = Math.max(1, Math.floor(limit * policy.openShare));
  let best = -1;
  for (let index = 0; index < waiting.length; index++) {
    const work = waiting[index];
    const isReserved = work.priority <= policy.reservedPriority;
    if (!isReserved && inService.total >= openLimit) continue;
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
