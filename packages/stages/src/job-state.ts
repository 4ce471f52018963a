import type {
  BrokenCall,
  StageJob,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import type {StageCapacity} from '@hollowstack/routes';
import type {WaitingJob} from './batch-plan.ts';
import type {Isolation} from './isolation.ts';
import type {CallShare} from './service-times.ts';
import type {StagePiece} from './stage-protocol.ts';

/** A piece in a call that is in flight, with its job. */
export interface InFlightPiece {
  readonly state: JobState;
  readonly job: StageJob;
  readonly piece: StagePiece;
}

/** Maximum failed pieces that are retried for a job, as a multiple of its pieces. */
const MAX_FAILED_PIECES_FACTOR = 2;
/** Broken calls after which a job fails if it was alone in the last one. */
const MAX_BROKEN_CALLS = 2;

/** A call whose connection broke, with times on the clock of this instance. */
export interface LocalBrokenCall {
  readonly upstream: BrokenCall['upstream'];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Why a job has no results. */
export type JobFailure = Omit<Extract<StageOutcome, {type: 'failed'}>, 'type'>;

/** Why a job ends whose request was given up. */
export const CANCELLED = {
  failure: 'cancelled',
  message: 'the request was given up',
} as const;

/** A job and the progress of its pieces. */
export class JobState {
  readonly job: StageJob;
  readonly deadlineAtMs: number;
  private readonly queuedAtMs: number;
  private readonly settle: (outcome: StageOutcome) => void;
  private readonly waiting: number[];
  private readonly results: Array<StageResult | undefined>;
  private readonly readPieces = new Set<number>();
  private readonly brokenCalls: LocalBrokenCall[] = [];
  private isolation: Isolation | undefined;
  private failedPieces = 0;
  private areInputsReleased = false;
  private hasSettled = false;
  private readonly cancelHandlers = new Set<() => void>();

  constructor(
    job: StageJob,
    nowMs: number,
    settle: (outcome: StageOutcome) => void,
  ) {
    this.job = job;
    this.queuedAtMs = nowMs;
    this.deadlineAtMs = nowMs + job.remainingMs;
    this.settle = settle;
    if (job.isIsolated) this.isolation = {group: job.jobId, maxJobs: 1};
    this.waiting = Array.from({length: job.pieceCount}, (_, index) => index);
    this.results = new Array(job.pieceCount).fill(undefined);
  }

  /** Whether the job has ended, successfully or not. */
  get isSettled(): boolean {
    return this.hasSettled;
  }

  /** Number of pieces that wait for a call; 0 once the job is settled. */
  get waitingCount(): number {
    return this.isSettled ? 0 : this.waiting.length;
  }

  /** @param pieceMs Milliseconds that one piece takes. */
  toWaitingJob(pieceMs: number): WaitingJob {
    const {job, queuedAtMs} = this;
    return {
      jobId: job.jobId,
      pieceCount: this.waitingCount,
      pieceMs,
      resultBytes: job.resultBytes,
      queuedAtMs,
      dueAtMs: queuedAtMs + job.dueInMs,
      priority: job.priority,
      hasInputs: job.inputs.length > 0,
      reserveMs: job.reserveMs ?? 0,
      failureDomain: job.failureDomain,
      crossingBytes: job.crossingBytes,
      isolation: this.isolation,
    };
  }

  /** Removes the next pieces from the queue, to be sent to an upstream. */
  takePieces(count: number, nowMs: number): InFlightPiece[] {
    const {job} = this;
    return this.waiting.splice(0, count).map(piece => ({
      state: this,
      job,
      piece: {
        requestId: job.requestId,
        stage: job.stage,
        piece,
        remainingMs: Math.max(1, Math.floor(this.deadlineAtMs - nowMs)),
        key: job.key,
        inputs: job.inputs,
      },
    }));
  }

  /**
   * Returns a piece without a result to the queue.
   *
   * @returns False if the inputs have been released, so that the piece cannot run again.
   */
  requeuePiece(piece: number): boolean {
    if (this.areInputsReleased) return false;
    this.readPieces.delete(piece);
    this.waiting.unshift(piece);
    return true;
  }

  /**
   * Records that an upstream failed to run a piece.
   *
   * @returns False if the job has exceeded its maximum of failed pieces.
   */
  recordFailedPiece(): boolean {
    this.failedPieces += 1;
    const maxFailedPieces = this.job.pieceCount * MAX_FAILED_PIECES_FACTOR;
    return this.failedPieces <= maxFailedPieces;
  }

  /**
   * Records that the connection of a call with pieces of the job broke.
   *
   * @param isolation Restricts which jobs share the retried call.
   * @returns False if the job must not be retried.
   */
  recordBrokenCall(call: LocalBrokenCall, isolation: Isolation): boolean {
    this.brokenCalls.push(call);
    const wasAlone = isolation.maxJobs === 1 && this.isolation?.maxJobs === 1;
    this.isolation = isolation;
    return !wasAlone || this.brokenCalls.length < MAX_BROKEN_CALLS;
  }

  /**
   * Records that an upstream answered a call with the job, which ends the isolation that
   * followed a broken call.
   */
  recordAnsweredCall(): void {
    if (!this.job.isIsolated) this.isolation = undefined;
  }

  /** Lists the broken calls of the job in the format that is reported to the submitter. */
  listBrokenCalls(nowMs: number): BrokenCall[] {
    return this.brokenCalls.map(({upstream, sentAtMs, endedAtMs}) => ({
      upstream,
      sentAgoMs: nowMs - sentAtMs,
      endedAgoMs: nowMs - endedAtMs,
    }));
  }

  /** Records that an upstream has fetched the inputs of a piece. */
  recordRead(piece: number): void {
    this.readPieces.add(piece);
  }

  /** Returns whether all pieces have read the inputs and no other job reads them. */
  mayReleaseInputs(): boolean {
    const {job, readPieces, isSettled, areInputsReleased} = this;
    if (isSettled || areInputsReleased || job.inputs.length === 0) return false;
    return job.isOnlyReader === true && readPieces.size === job.pieceCount;
  }

  /** Records that the job's inputs have been released; its pieces cannot be retried. */
  recordInputsReleased(): void {
    this.areInputsReleased = true;
  }

  /**
   * Records the result of a piece; the last one settles the job.
   *
   * @returns False if the job was already settled.
   */
  recordResult(piece: number, result: StageResult): boolean {
    if (this.isSettled) return false;
    this.results[piece] = result;
    const results = this.listResults();
    if (results.length === this.job.pieceCount) {
      this.hasSettled = true;
      const {areInputsReleased} = this;
      this.settle({type: 'made', results, areInputsReleased});
    }
    return true;
  }

  listResults(): StageResult[] {
    return this.results.filter(result => result !== undefined);
  }

  /** Settles the job as failed. */
  fail(failed: JobFailure): void {
    if (this.isSettled) return;
    this.hasSettled = true;
    this.settle({type: 'failed', ...failed});
    if (failed.failure !== 'cancelled') return;
    for (const handleCancelled of this.cancelHandlers) handleCancelled();
  }

  /**
   * Calls a handler once the job is cancelled.
   *
   * @returns Function that removes the handler.
   */
  addCancelHandler(handleCancelled: () => void): () => void {
    this.cancelHandlers.add(handleCancelled);
    return () => this.cancelHandlers.delete(handleCancelled);
  }
}

/** Lists the jobs that the pieces of a call belong to. */
export function listJobStates(
  pieces: readonly InFlightPiece[],
): ReadonlySet<JobState> {
  return new Set(pieces.map(({state}) => state));
}

/** Groups the pieces of a call by stage. */
export function listCallShares(
  pieces: readonly InFlightPiece[],
  {pieceMs}: StageCapacity,
): CallShare[] {
  const counts = new Map<string, number>();
  for (const {job} of pieces) {
    counts.set(job.stageKey, (counts.get(job.stageKey) ?? 0) + 1);
  }
  return [...counts].map(([stageKey, pieceCount]) => ({
    stageKey,
    pieceCount,
    configuredMs: pieceMs,
  }));
}
