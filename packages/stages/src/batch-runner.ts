import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {StageCapacity} from '@hollowstack/routes';
import type {StageResult} from '@hollowstack/types';
import type {Batch} from './batch-plan.ts';
import {CallDemand} from './call-demand.ts';
import type {EarlyInputReleaser} from './early-input-releaser.ts';
import {splitBrokenCall} from './broken-call.ts';
import {
  listCallShares,
  listJobStates,
  type JobState,
  type InFlightPiece,
} from './job-state.ts';
import type {JobTable} from './job-table.ts';
import type {ServiceTimes} from './service-times.ts';
import {logAnsweredCall} from './stage-call-log.ts';
import {StageCallError, type StageCaller} from './stage-caller.ts';
import type {StageFleet} from './stage-fleet.ts';
import type {PieceOutcome, RunAnswer} from './stage-protocol.ts';
import type {StageUpstream} from './stage-upstream.ts';

/** Dependencies of BatchRunner. */
export interface BatchRunnerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly caller: Pick<StageCaller, 'runPieces'>;
  readonly jobs: JobTable;
  readonly fleet: StageFleet;
  /** Learns the duration of calls. */
  readonly times: ServiceTimes;
  readonly inputReleaser: EarlyInputReleaser;
  /**
   * Whether inputs are released while the calls that have read them are still in flight.
   */
  readonly releasesInputsEarly: boolean;
  /** Releases results at the upstreams that store them. */
  readonly releaseResults: (results: readonly StageResult[]) => void;
  /** Called after pieces of a job were dispatched or requeued. */
  readonly handlePhaseChange: (state: JobState) => void;
  /** Called when a call has ended, successfully or not. */
  readonly handleCallEnd: () => void;
}

/** Options of one call. */
export interface BatchRunOptions {
  readonly capacity: StageCapacity;
  readonly nowMs: number;
  /** Whether at least a full batch is left waiting for a free upstream. */
  readonly hasBacklog: boolean;
}

/** A call in flight or just answered. */
interface RunningCall {
  readonly startedAtMs: number;
  readonly expectedMs: number;
  readonly capacity: StageCapacity;
  readonly hasBacklog: boolean;
}

/** Pause of an upstream that refused a call without starting it, in milliseconds. */
const FULL_PAUSE_MS = 60;
/** Pause of an upstream to which no path was found, in milliseconds. */
const LOST_PATH_PAUSE_MS = 10;
/**
 * Multiple of the expected duration after which a call times out. The expected duration is
 * scaled by the upstream's slowness, so that an upstream at a quarter of its speed is treated
 * as slow, not as unreachable.
 */
const CALL_TIMEOUT_FACTOR = 3;
/** Added to the timeout for connection setup and lost packets. */
const CALL_TIMEOUT_MARGIN_MS = 400;

/** Makes the calls of planned batches and settles the jobs with the answers. */
export class BatchRunner {
  private readonly parts: BatchRunnerParts;

  constructor(parts: BatchRunnerParts) {
    this.parts = parts;
  }

  /** Makes the call of a batch and settles its pieces; never rejects. */
  async runBatch(
    batch: Batch,
    {capacity, nowMs, hasBacklog}: BatchRunOptions,
  ): Promise<void> {
    const upstream = this.parts.fleet.findUpstream(batch.upstreamId)!;
    const pieces = batch.parts.flatMap(part =>
      this.parts.jobs.find(part.jobId)!.takePieces(part.pieceCount, nowMs),
    );
    const {id} = upstream.record;
    for (const {job} of pieces)
      this.parts.fleet.reserveBytes(id, job.resultBytes);
    for (const state of listJobStates(pieces))
      this.parts.handlePhaseChange(state);
    const shares = listCallShares(pieces, capacity);
    const expectedMs =
      capacity.callMs + this.parts.times.computePiecesMs(shares);
    const readTracker = this.parts.inputReleaser.beginCall(pieces, expectedMs);
    const demand = new CallDemand(this.parts.clock, pieces);
    const call = {startedAtMs: nowMs, expectedMs, capacity, hasBacklog};
    upstream.beginCall();
    try {
      const answer = await this.parts.caller.runPieces(upstream.record, {
        timeoutMs:
          expectedMs *
            CALL_TIMEOUT_FACTOR *
            Math.max(1, upstream.getSlowness(nowMs)) +
          CALL_TIMEOUT_MARGIN_MS,
        takePieces: () => {
          if (!demand.isNeeded()) return [];
          if (!this.parts.fleet.acquireSend(id)) return [];
          if (this.parts.releasesInputsEarly) readTracker.recordSent();
          return demand.takePieces().map(({piece}) => piece);
        },
        signal: demand.signal,
      });
      this.settleCall(upstream, demand, answer, call);
    } catch (error) {
      if (demand.signal.aborted) this.closeUnneeded(upstream, demand, call);
      else this.handleFailure(upstream, pieces, error, nowMs);
    } finally {
      demand.end();
      readTracker.end();
      upstream.endCall(this.parts.clock.getNow());
      // Some pieces may have been requeued.
      for (const state of listJobStates(pieces))
        this.parts.handlePhaseChange(state);
      this.parts.handleCallEnd();
    }
  }

  private settleCall(
    upstream: StageUpstream,
    demand: CallDemand,
    answer: RunAnswer,
    call: RunningCall,
  ): void {
    const {sentPieces} = demand;
    if (sentPieces.length > 0) {
      this.handleAnswer(upstream, sentPieces, answer, call);
      this.cancelReservations(upstream, demand.listUnsent());
    } else if (demand.isNeeded()) {
      this.handleAnswer(upstream, demand.listUnsent(), answer, call);
    } else this.closeUnneeded(upstream, demand, call);
  }

  // The upstream of a call that no job needs may run it to its end and store results whose handles
  // this coordinator does not learn.
  private closeUnneeded(
    upstream: StageUpstream,
    demand: CallDemand,
    {startedAtMs, expectedMs, capacity}: RunningCall,
  ): void {
    const {id, service, address, failureDomain} = upstream.record;
    const nowMs = this.parts.clock.getNow();
    const dueAtMs =
      startedAtMs + expectedMs * Math.max(1, upstream.getSlowness(nowMs));
    if (nowMs > dueAtMs + CALL_TIMEOUT_MARGIN_MS) {
      upstream.recordFailure(nowMs, 'broken');
    } else upstream.cancelTrial(nowMs);
    this.cancelReservations(upstream, demand.listUnsent());
    for (const {job} of demand.sentPieces) {
      this.parts.fleet.recordUnnamedResult({
        upstreamId: id,
        address,
        failureDomain,
        owner: undefined,
        service,
        bytes: job.resultBytes,
        reservedAtMs: startedAtMs,
        expiresAtMs: Math.max(nowMs, dueAtMs) + capacity.resultTtlMs,
      });
    }
    this.countCall(service, 'abandoned');
    this.parts.logger.logEvent('stage.call-abandoned', {
      service,
      upstream: id,
      pieces: demand.sentPieces.length,
      unsentPieces: demand.listUnsent().length,
      tookMs: Math.round(nowMs - startedAtMs),
      expectedMs: Math.round(expectedMs),
    });
  }

  private cancelReservations(
    {record}: StageUpstream,
    pieces: readonly InFlightPiece[],
  ): void {
    for (const {job} of pieces) {
      this.parts.fleet.cancelReservation(record.id, job.resultBytes);
    }
  }

  private handleAnswer(
    upstream: StageUpstream,
    pieces: readonly InFlightPiece[],
    answer: RunAnswer,
    call: RunningCall,
  ): void {
    const nowMs = this.parts.clock.getNow();
    if (answer.type === 'unreadable') {
      throw new StageCallError(answer.message);
    }
    if (answer.type === 'not-run') {
      this.countCall(upstream.record.service, 'rejected');
      upstream.pausedUntilMs = nowMs + FULL_PAUSE_MS;
      if (answer.isOtherUpstream) upstream.recordFailure(nowMs, 'refused');
      this.requeuePieces(upstream, pieces);
      return;
    }
    const tookMs = nowMs - call.startedAtMs;
    upstream.recordSuccess(nowMs, tookMs / call.expectedMs);
    this.recordTimes(upstream, pieces, answer, call);
    const {id, service} = upstream.record;
    this.countCall(service, 'answered');
    const {outcomes} = answer;
    for (const state of listJobStates(pieces)) state.recordAnsweredCall();
    logAnsweredCall(
      {
        service,
        upstreamId: id,
        pieces,
        outcomes,
        tookMs,
        expectedMs: call.expectedMs,
        usedBytes: this.parts.fleet.getUsedBytes(id),
        waitingJobs: this.parts.jobs.size,
      },
      this.parts.logger,
      this.parts.metrics,
    );
    pieces.forEach((piece, index) =>
      this.settlePiece(upstream, piece, outcomes[index], call),
    );
  }

  // Skips calls with failed pieces: a call that lacks memory or inputs ends early, so its
  // duration is not that of the work. The slowness of the upstream is taken relative to the
  // median: if all upstreams appear slow or fast, the expectation is wrong.
  private recordTimes(
    upstream: StageUpstream,
    pieces: readonly InFlightPiece[],
    answer: RunAnswer,
    {capacity, startedAtMs, expectedMs, hasBacklog}: RunningCall,
  ): void {
    const {service} = upstream.record;
    const nowMs = this.parts.clock.getNow();
    const isComplete =
      answer.type === 'outcomes' &&
      answer.outcomes.every(({type}) => type === 'made');
    if (!isComplete) return;
    const medianSlowness = this.parts.fleet.getMedianSlowness(service);
    const slowness = upstream.getSlowness(nowMs) / medianSlowness;
    this.parts.times.recordCall({
      service,
      batchSize: capacity.batchSize,
      shares: listCallShares(pieces, capacity),
      expectedMs,
      tookMs: (nowMs - startedAtMs) / slowness,
    });
    if (!hasBacklog) return;
    this.parts.times.recordFillRatio(
      service,
      pieces.length / capacity.batchSize,
    );
  }

  private settlePiece(
    upstream: StageUpstream,
    inFlight: InFlightPiece,
    outcome: PieceOutcome,
    {capacity, startedAtMs}: {capacity: StageCapacity; startedAtMs: number},
  ): void {
    const nowMs = this.parts.clock.getNow();
    const {id, failureDomain} = upstream.record;
    const {state, job, piece} = inFlight;
    if (outcome.type === 'made') {
      const {handle, address} = outcome;
      const result: StageResult = {handle, address, failureDomain};
      this.parts.fleet.recordResult(handle, {
        upstreamId: id,
        address,
        failureDomain,
        owner: job.owner,
        service: job.service,
        bytes: job.resultBytes,
        reservedAtMs: startedAtMs,
        expiresAtMs: nowMs + capacity.resultTtlMs,
      });
      if (!state.recordResult(piece.piece, result)) {
        this.parts.releaseResults([result]);
      }
      return;
    }
    this.parts.fleet.cancelReservation(id, job.resultBytes);
    const {failure} = outcome;
    if (failure === 'late' || failure === 'input-gone') {
      this.parts.jobs.fail(
        state,
        failure,
        `upstream ${id} answered ${failure}`,
      );
      return;
    }
    if (failure === 'no-room') {
      // The upstream stores results unknown to this coordinator, for example of an instance
      // that no longer exists.
      const free = this.parts.fleet.countFreeBytes(upstream);
      upstream.addUntrackedBytes(free - job.resultBytes + 1, nowMs);
      this.requeue(inFlight);
      return;
    }
    this.requeueOrFail(inFlight, `upstream ${id} answered ${failure}`);
  }

  private handleFailure(
    upstream: StageUpstream,
    pieces: readonly InFlightPiece[],
    error: unknown,
    sentAtMs: number,
  ): void {
    const {id, service, address} = upstream.record;
    this.countCall(service, 'failed');
    const nowMs = this.parts.clock.getNow();
    const details = error instanceof StageCallError ? error.details : undefined;
    if (details?.isPathLost) {
      upstream.pausedUntilMs = nowMs + LOST_PATH_PAUSE_MS;
    } else {
      upstream.recordFailure(
        nowMs,
        details?.isUnreachable ? 'refused' : 'broken',
      );
    }
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('stage.call-failed', {
      service,
      upstream: id,
      address,
      pieces: pieces.length,
      requests: [...new Set(pieces.map(({job}) => job.requestId))].join(','),
      reason,
    });
    const message = `call to upstream ${id} failed: ${reason}`;
    // Further calls would meet the same, so the callers are rejected at once.
    if (details?.hasOutage) {
      for (const state of listJobStates(pieces)) {
        this.parts.jobs.fail(state, 'failed', message);
      }
    }
    if (details?.isConnectionLost) {
      const call = {
        upstream: {id, service, address},
        sentAtMs,
        endedAtMs: nowMs,
      };
      for (const state of splitBrokenCall(listJobStates(pieces), call)) {
        this.parts.jobs.fail(state, 'failed', message);
      }
    }
    for (const piece of pieces) {
      this.parts.fleet.cancelReservation(id, piece.job.resultBytes);
      this.requeueOrFail(piece, message);
    }
  }

  private countCall(
    service: string,
    outcome: 'answered' | 'rejected' | 'failed' | 'abandoned',
  ): void {
    this.parts.metrics.addToCounter('hollowstack_stage_calls_total', {
      service,
      outcome,
    });
  }

  private requeuePieces(
    upstream: StageUpstream,
    pieces: readonly InFlightPiece[],
  ): void {
    for (const piece of pieces) {
      this.parts.fleet.cancelReservation(
        upstream.record.id,
        piece.job.resultBytes,
      );
      this.requeue(piece);
    }
  }

  private requeueOrFail(inFlight: InFlightPiece, message: string): void {
    if (inFlight.state.recordFailedPiece()) this.requeue(inFlight);
    else this.parts.jobs.fail(inFlight.state, 'failed', message);
  }

  // Fails the job at once if its inputs have been released, since the earlier stages then
  // have to run again.
  private requeue({state, piece}: InFlightPiece): void {
    if (state.requeuePiece(piece.piece)) return;
    this.parts.jobs.fail(
      state,
      'input-gone',
      'a call ended after its inputs had gone',
    );
  }
}
