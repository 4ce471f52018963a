import type {StageCapacity, Unavailability} from '@hollowstack/routes';
import type {
  StageFailure,
  StageJob,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import type {WaitingJob} from './batch-plan.ts';
import {CANCELLED, JobState} from './job-state.ts';
import type {ServiceTimes} from './service-times.ts';

/** Dependencies of JobTable. */
export interface JobTableParts {
  readonly getNow: () => number;
  /** Learned duration of a piece. */
  readonly times: Pick<ServiceTimes, 'getPieceMs'>;
  /** Releases results at the upstreams that store them. */
  readonly releaseResults: (results: readonly StageResult[]) => void;
}

/**
 * Milliseconds for which the cancellation of an unknown job is remembered. A job waits for a
 * refresh of the view before it is added, its cancellation does not.
 */
const EARLY_CANCEL_TTL_MS = 5000;

/** The unsettled jobs by id. */
export class JobTable {
  private readonly parts: JobTableParts;
  private readonly jobs = new Map<string, JobState>();
  /** When unknown jobs were cancelled, by job id. */
  private readonly cancelledAtMs = new Map<string, number>();

  constructor(parts: JobTableParts) {
    this.parts = parts;
  }

  get size(): number {
    return this.jobs.size;
  }

  /**
   * Adds a job.
   *
   * @param settle Called once, with the outcome of the job.
   */
  add(job: StageJob, settle: (outcome: StageOutcome) => void): JobState {
    const state = new JobState(job, this.parts.getNow(), outcome => {
      this.jobs.delete(job.jobId);
      settle(outcome);
    });
    this.jobs.set(job.jobId, state);
    return state;
  }

  /** Cancels a job, also one that has not arrived yet. */
  cancel(jobId: string): void {
    const state = this.jobs.get(jobId);
    if (state) {
      this.fail(state, CANCELLED.failure, CANCELLED.message);
      return;
    }
    const nowMs = this.parts.getNow();
    for (const [id, atMs] of this.cancelledAtMs) {
      if (nowMs - atMs < EARLY_CANCEL_TTL_MS) break;
      this.cancelledAtMs.delete(id);
    }
    this.cancelledAtMs.set(jobId, nowMs);
  }

  /** Returns the outcome of a job that was cancelled before it arrived; undefined for others. */
  takeEarlyCancel(jobId: string): StageOutcome | undefined {
    if (!this.cancelledAtMs.delete(jobId)) return undefined;
    return {type: 'failed', ...CANCELLED};
  }

  find(jobId: string): JobState | undefined {
    return this.jobs.get(jobId);
  }

  /** Fails a job and releases the results of its finished pieces. */
  fail(
    state: JobState,
    failure: StageFailure,
    message: string,
    retryAfterMs?: number,
  ): void {
    const calls = state.listBrokenCalls(this.parts.getNow());
    const brokenCalls = calls.length > 0 ? calls : undefined;
    state.fail({failure, message, retryAfterMs, brokenCalls});
    this.parts.releaseResults(state.listResults());
  }

  /** Fails all jobs as overloaded. */
  failAll(message: string): void {
    for (const state of [...this.jobs.values()]) {
      this.fail(state, 'overloaded', message);
    }
  }

  /** Fails the jobs whose deadline has passed. */
  failOverdue(): void {
    const nowMs = this.parts.getNow();
    const message = 'the deadline passed while the pieces waited';
    for (const state of [...this.jobs.values()]) {
      if (state.deadlineAtMs <= nowMs) this.fail(state, 'late', message);
    }
  }

  /**
   * Fails the jobs that would miss their objective if they waited until the service is
   * available.
   */
  failUnservable(
    service: string,
    {reason, waitMs = Infinity, retryAfterMs}: Unavailability,
    capacity: StageCapacity,
  ): void {
    const beginAtMs = this.parts.getNow() + waitMs;
    for (const state of this.listWaitingStates(service)) {
      const {pieceCount, dueAtMs, pieceMs} = this.toWaiting(state, capacity);
      const workMs = capacity.callMs + pieceCount * pieceMs;
      if (beginAtMs + workMs <= dueAtMs) continue;
      this.fail(state, 'failed', reason, retryAfterMs);
    }
  }

  /** Lists the services with waiting pieces. */
  listServices(): ReadonlySet<string> {
    const services = new Set<string>();
    for (const state of this.jobs.values()) {
      if (state.waitingCount > 0) services.add(state.job.service);
    }
    return services;
  }

  /** Lists the jobs of a service with waiting pieces. */
  listWaiting(service: string, capacity: StageCapacity): WaitingJob[] {
    return this.listWaitingStates(service).map(state =>
      this.toWaiting(state, capacity),
    );
  }

  /** Counts the waiting pieces of a service. */
  countWaitingPieces(service: string): number {
    return this.listWaitingStates(service).reduce(
      (sum, {waitingCount}) => sum + waitingCount,
      0,
    );
  }

  private listWaitingStates(service: string): JobState[] {
    return [...this.jobs.values()].filter(
      ({job, waitingCount}) => job.service === service && waitingCount > 0,
    );
  }

  private toWaiting(state: JobState, capacity: StageCapacity): WaitingJob {
    const {stageKey} = state.job;
    const pieceMs = this.parts.times.getPieceMs(stageKey, capacity.pieceMs);
    return state.toWaitingJob(pieceMs);
  }
}
