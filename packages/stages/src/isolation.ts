/**
 * Restricts which jobs may share a call, so that a broken call reveals the job that
 * caused it.
 */
export interface Isolation {
  /** Only jobs of the same group may share a call. */
  readonly group: string;
  /** Maximum number of jobs in one call. */
  readonly maxJobs: number;
}

/** Number of calls over which the jobs of a broken call are split. */
const SPLIT_CALL_COUNT = 4;

/**
 * Creates the isolation for retrying the jobs of a broken call. Each retry holds at most a
 * quarter of the jobs, so a call of four or fewer jobs is retried one job at a time.
 *
 * @param callId Identifies the broken call.
 */
export function createIsolation(callId: string, jobCount: number): Isolation {
  return {
    group: callId,
    maxJobs: Math.max(1, Math.ceil(jobCount / SPLIT_CALL_COUNT)),
  };
}

/**
 * Lists the first job and the jobs that may share a call with it.
 *
 * @param jobs Sorted by urgency, the most urgent first.
 */
export function listCompatible<
  Job extends {readonly isolation: Isolation | undefined},
>(jobs: readonly Job[]): Job[] {
  const isolation = jobs.at(0)?.isolation;
  if (!isolation) return jobs.filter(job => !job.isolation);
  return jobs
    .filter(job => job.isolation?.group === isolation.group)
    .slice(0, isolation.maxJobs);
}
