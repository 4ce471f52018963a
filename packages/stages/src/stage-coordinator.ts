import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {
  RegisteredUpstream,
  RouteTable,
  Shortage,
  StageCapacity,
} from '@hollowstack/routes';
import type {
  StageAdmissionRequest,
  StageFailure,
  StageJob,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import {SLOW_FACTOR, assembleBatches, type Batch} from './batch-plan.ts';
import {InputReads} from './input-reads.ts';
import {JobState, type TakenPiece} from './job-state.ts';
import {ResultReleaser} from './result-releaser.ts';
import {ServiceTimes, type CallShare} from './service-times.ts';
import {
  StageAdmission,
  type StageAdmissionDecision,
} from './stage-admission.ts';
import {logAnsweredCall} from './stage-call-log.ts';
import {StageCallError, type StageCaller} from './stage-caller.ts';
import type {PieceOutcome, RunAnswer} from './stage-protocol.ts';
import {StageFleet, type StageBackOffs} from './stage-fleet.ts';
import type {StageUpstream} from './stage-upstreams.ts';

/** What the coordinator works with. */
export interface StageCoordinatorParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly caller: Pick<StageCaller, 'runPieces' | 'releaseResults' | 'close'>;
  /** The upstreams that asked this instance for no work. */
  readonly backOffs: StageBackOffs;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  /** Whether inputs are given back while the calls that have read them still work. */
  readonly releasesRead: boolean;
}

/** Milliseconds between two plans while jobs wait that nothing else wakes. */
const REPLAN_MS = 20;
/** Milliseconds for which an upstream that was full is left alone. */
const FULL_PAUSE_MS = 60;
/**
 * A call is given up after this many times what it should take; upstreams at
 * a quarter of their speed are slow, not gone.
 */
const CALL_TIMEOUT_FACTOR = 3;
/** Milliseconds beside that, for connections and lost packets. */
const CALL_TIMEOUT_MARGIN_MS = 400;

/** How a batch is to be run. */
interface BatchRun {
  readonly capacity: StageCapacity;
  readonly nowMs: number;
  /** Whether a call's items or more wait that no upstream was free for. */
  readonly isLoaded: boolean;
}

/** A call that is answered. */
interface RunningCall {
  readonly startedAtMs: number;
  readonly expectedMs: number;
  readonly capacity: StageCapacity;
  readonly isLoaded: boolean;
}

/**
 * Gathers the pieces of many requests, from all instances that submit them
 * here, into calls that fill the upstreams' batches.
 */
export class StageCoordinator {
  private readonly parts: StageCoordinatorParts;
  private readonly jobs = new Map<string, JobState>();
  private readonly fleet: StageFleet;
  private readonly releaser: ResultReleaser;
  private readonly inputReads: InputReads;
  private readonly admission: StageAdmission;
  private readonly times = new ServiceTimes();
  private timer: Timer | undefined;

  constructor(parts: StageCoordinatorParts) {
    this.parts = parts;
    this.fleet = new StageFleet({
      clock: parts.clock,
      backOffs: parts.backOffs,
      times: this.times,
    });
    this.admission = new StageAdmission({
      clock: parts.clock,
      fleet: this.fleet,
      times: this.times,
      random: parts.random,
    });
    this.releaser = new ResultReleaser({
      clock: parts.clock,
      caller: parts.caller,
      getWaitMs: address => this.fleet.getReleaseWaitMs(address),
      handleReleased: handles => {
        this.fleet.recordReleased(handles);
        this.scheduleCalls();
      },
    });
    this.inputReads = new InputReads({
      clock: parts.clock,
      fleet: this.fleet,
      releaseResults: results => this.releaseResults(results),
    });
  }

  /** Decides whether the stages of a request may begin. */
  admitRequest(request: StageAdmissionRequest): StageAdmissionDecision {
    return this.admission.judge(request);
  }

  /** Notes how long a request took to its first bytes once its stages were done. */
  recordFirst(requestId: string, firstMs: number): void {
    this.admission.recordFirst(requestId, firstMs);
  }

  /** Notes that a request needs no more stages. */
  endRequest(requestId: string): void {
    this.admission.recordEnded(requestId);
  }

  /** Takes the stage services of a newer configuration. */
  setConfiguration(table: RouteTable): void {
    this.fleet.setCapacities(
      new Map(
        table.configuration.services.flatMap(({name, stage}) =>
          stage ? [[name, stage] as const] : [],
        ),
      ),
    );
    this.scheduleCalls();
  }

  /** Takes the upstreams that are registered now. */
  setUpstreams(records: readonly RegisteredUpstream[]): void {
    this.fleet.setUpstreams(records);
    this.scheduleCalls();
  }

  /** Takes a job and resolves with what became of it. */
  runJob(job: StageJob): Promise<StageOutcome> {
    return new Promise(resolve => {
      const state = new JobState(job, this.parts.clock.getNow(), outcome => {
        this.jobs.delete(job.jobId);
        this.admission.recordDone(job.service, job.requestId, job.stage);
        resolve(outcome);
      });
      this.jobs.set(job.jobId, state);
      this.recordPhase(state);
      this.scheduleCalls();
    });
  }

  /** Gives a job up; what is still made for it is released. */
  cancelJob(jobId: string): void {
    const state = this.jobs.get(jobId);
    if (!state) return;
    this.failJob(state, 'cancelled', 'the request was given up');
  }

  /** Gives results back to the upstreams that keep them. */
  releaseResults(results: readonly StageResult[]): void {
    this.releaser.addResults(results);
  }

  /** Fails all jobs: after a pause their submitters have gone elsewhere. */
  failAllJobs(message: string): void {
    for (const state of [...this.jobs.values()]) {
      this.failJob(state, 'overloaded', message);
    }
  }

  getWaitingCount(): number {
    return this.jobs.size;
  }

  stop(): void {
    this.timer?.cancel();
    this.admission.stop();
    this.parts.caller.close();
    this.failAllJobs('the instance stops');
  }

  private scheduleCalls(): void {
    this.timer?.cancel();
    this.timer = this.parts.clock.schedule(0, () => this.runDueCalls());
  }

  private runDueCalls(): void {
    const nowMs = this.parts.clock.getNow();
    this.failLateJobs(nowMs);
    this.fleet.removeExpired();
    const services = new Set<string>();
    for (const state of this.jobs.values()) {
      if (state.waitingCount > 0) services.add(state.job.service);
    }
    for (const service of services) this.runServiceCalls(service, nowMs);
    if (services.size > 0) {
      this.timer?.cancel();
      this.timer = this.parts.clock.schedule(REPLAN_MS, () =>
        this.runDueCalls(),
      );
    }
  }

  private failLateJobs(nowMs: number): void {
    for (const state of [...this.jobs.values()]) {
      if (state.deadlineAtMs > nowMs) continue;
      this.failJob(
        state,
        'late',
        'the deadline passed while the pieces waited',
      );
    }
  }

  // What no upstream will take in time is refused now, not at its deadline.
  private failWaitingJobs(
    service: string,
    {reason, waitMs = Infinity, retryAfterMs}: Shortage,
    capacity: StageCapacity,
  ): void {
    const beginAtMs = this.parts.clock.getNow() + waitMs;
    for (const state of [...this.jobs.values()]) {
      if (state.job.service !== service || state.waitingCount === 0) continue;
      const {pieceCount, dueAtMs, pieceMs} = state.toWaitingJob(
        this.getPieceMs(state, capacity),
      );
      const workMs = capacity.callMs + pieceCount * pieceMs;
      if (beginAtMs + workMs <= dueAtMs) continue;
      this.failJob(state, 'failed', reason, retryAfterMs);
    }
  }

  private runServiceCalls(service: string, nowMs: number): void {
    const capacity = this.fleet.getCapacity(service);
    if (!capacity) return;
    const shortage = this.fleet.findShortage(service);
    if (shortage !== undefined) {
      this.failWaitingJobs(service, shortage, capacity);
      return;
    }
    const used = this.fleet.listUsed(service);
    const batches = assembleBatches({
      nowMs,
      capacity,
      jobs: [...this.jobs.values()]
        .filter(
          state => state.job.service === service && state.waitingCount > 0,
        )
        .map(state => state.toWaitingJob(this.getPieceMs(state, capacity))),
      free: used
        .filter(upstream => upstream.isFree(nowMs, capacity))
        .map(upstream => ({
          id: upstream.record.id,
          failureDomain: upstream.record.failureDomain,
          freeBytes: this.fleet.countFreeBytes(upstream),
          slowness: upstream.getSlowness(nowMs),
          idleSinceMs: upstream.idleSinceMs,
        })),
      domainsInUse: new Set(used.map(({record}) => record.failureDomain)),
      upstreamsInUse: used.length,
      hasUsualUpstream: used.some(
        upstream => upstream.getSlowness(nowMs) < SLOW_FACTOR,
      ),
    });
    const isLoaded = this.hasBatchLeft(service, capacity, batches);
    for (const batch of batches) {
      void this.runBatch(batch, {capacity, nowMs, isLoaded});
    }
  }

  // Calls that leave less than another call's items waiting are as small as the load
  // is; how full calls can be is seen only where there is more.
  private hasBatchLeft(
    service: string,
    {batchSize}: StageCapacity,
    batches: readonly Batch[],
  ): boolean {
    let left = 0;
    for (const {job, waitingCount} of this.jobs.values()) {
      if (job.service === service) left += waitingCount;
    }
    for (const {parts} of batches) {
      for (const {pieceCount} of parts) left -= pieceCount;
    }
    return left >= batchSize;
  }

  private recordPhase({job, waitingCount}: JobState): void {
    const phase = waitingCount > 0 ? 'queued' : 'running';
    this.admission.recordPhase(job.service, job.requestId, job.stage, phase);
  }

  private async runBatch(
    batch: Batch,
    {capacity, nowMs, isLoaded}: BatchRun,
  ): Promise<void> {
    const upstream = this.fleet.findUpstream(batch.upstreamId)!;
    const taken = batch.parts.flatMap(part =>
      this.jobs.get(part.jobId)!.takePieces(part.pieceCount, nowMs),
    );
    const {id} = upstream.record;
    for (const {job} of taken) this.fleet.reserveBytes(id, job.resultBytes);
    for (const state of listStates(taken)) this.recordPhase(state);
    const shares = listShares(taken, capacity);
    const expectedMs = capacity.callMs + this.times.computeItemsMs(shares);
    const reads = this.inputReads.beginCall(taken, expectedMs);
    upstream.beginCall();
    try {
      const answer = await this.parts.caller.runPieces(
        upstream.record,
        taken.map(({piece}) => piece),
        expectedMs *
          CALL_TIMEOUT_FACTOR *
          Math.max(1, upstream.getSlowness(nowMs)) +
          CALL_TIMEOUT_MARGIN_MS,
        () => {
          if (!this.fleet.acquireSend(id)) return false;
          if (this.parts.releasesRead) reads.recordSent();
          return true;
        },
      );
      this.handleAnswer(upstream, taken, answer, {
        startedAtMs: nowMs,
        expectedMs,
        capacity,
        isLoaded,
      });
    } catch (error) {
      this.handleFailure(upstream, taken, error);
    } finally {
      reads.end();
      upstream.endCall(this.parts.clock.getNow());
      // Some of them may wait again.
      for (const state of listStates(taken)) this.recordPhase(state);
      this.scheduleCalls();
    }
  }

  private handleAnswer(
    upstream: StageUpstream,
    taken: readonly TakenPiece[],
    answer: RunAnswer,
    call: RunningCall,
  ): void {
    const nowMs = this.parts.clock.getNow();
    if (answer.type === 'unreadable') {
      throw new StageCallError(answer.message, false);
    }
    if (answer.type === 'not-run') {
      upstream.pausedUntilMs = nowMs + FULL_PAUSE_MS;
      if (answer.isOtherUpstream) upstream.recordFailure(nowMs, 'refused');
      this.putBackPieces(upstream, taken);
      return;
    }
    const tookMs = nowMs - call.startedAtMs;
    upstream.recordSuccess(nowMs, tookMs / call.expectedMs);
    this.recordTimes(upstream, taken, answer, call);
    const {id, service} = upstream.record;
    const {outcomes} = answer;
    logAnsweredCall(
      {
        service,
        upstreamId: id,
        taken,
        outcomes,
        tookMs,
        expectedMs: call.expectedMs,
        usedBytes: this.fleet.getUsedBytes(id),
        waitingJobs: this.jobs.size,
      },
      this.parts.logger,
      this.parts.metrics,
    );
    taken.forEach((piece, index) =>
      this.settlePiece(upstream, piece, outcomes[index], call),
    );
  }

  // Calls that lacked room or inputs end early, and say nothing of the work. How slow one
  // upstream is counts against the others': if all of them count as slow or fast, it is
  // the expectation that is wrong.
  private recordTimes(
    upstream: StageUpstream,
    taken: readonly TakenPiece[],
    answer: RunAnswer,
    {capacity, startedAtMs, expectedMs, isLoaded}: RunningCall,
  ): void {
    const {service} = upstream.record;
    const nowMs = this.parts.clock.getNow();
    const isWhole =
      answer.type === 'outcomes' &&
      answer.outcomes.every(({type}) => type === 'made');
    if (!isWhole) return;
    const usualSlowness = this.fleet.getUsualSlowness(service);
    const slowness = upstream.getSlowness(nowMs) / usualSlowness;
    this.times.recordCall({
      service,
      batchSize: capacity.batchSize,
      shares: listShares(taken, capacity),
      expectedMs,
      tookMs: (nowMs - startedAtMs) / slowness,
    });
    if (!isLoaded) return;
    this.times.recordFill(service, taken.length / capacity.batchSize);
  }

  private getPieceMs(state: JobState, capacity: StageCapacity): number {
    return this.times.getItemMs(state.job.stageKey, capacity.pieceMs);
  }

  private settlePiece(
    upstream: StageUpstream,
    taken: TakenPiece,
    outcome: PieceOutcome,
    {capacity, startedAtMs}: {capacity: StageCapacity; startedAtMs: number},
  ): void {
    const nowMs = this.parts.clock.getNow();
    const {id, failureDomain} = upstream.record;
    const {state, job, piece} = taken;
    if (outcome.type === 'made') {
      const {handle, address} = outcome;
      const result: StageResult = {handle, address, failureDomain};
      this.fleet.recordResult(handle, {
        upstreamId: id,
        service: job.service,
        bytes: job.resultBytes,
        sinceMs: startedAtMs,
        untilMs: nowMs + capacity.resultTtlMs,
      });
      if (!state.recordResult(piece.piece, result)) {
        this.releaseResults([result]);
      }
      return;
    }
    this.fleet.cancelReservation(id, job.resultBytes);
    const {failure} = outcome;
    if (failure === 'late' || failure === 'input-gone') {
      this.failJob(state, failure, `upstream ${id} answered ${failure}`);
      return;
    }
    if (failure === 'no-room') {
      // Somebody else's results lie there, of an instance that is gone maybe.
      const free = this.fleet.countFreeBytes(upstream);
      upstream.addUnknownBytes(free - job.resultBytes + 1, nowMs);
      this.putBack(taken);
      return;
    }
    this.putBackOrFail(taken, `upstream ${id} answered ${failure}`);
  }

  private handleFailure(
    upstream: StageUpstream,
    taken: readonly TakenPiece[],
    error: unknown,
  ): void {
    const {id, service, address} = upstream.record;
    const nowMs = this.parts.clock.getNow();
    const isUnreachable =
      error instanceof StageCallError && error.isUnreachable;
    upstream.recordFailure(nowMs, isUnreachable ? 'refused' : 'broken');
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('stage.call-failed', {
      service,
      upstream: id,
      address,
      pieces: taken.length,
      requests: [...new Set(taken.map(({job}) => job.requestId))].join(','),
      reason,
    });
    for (const piece of taken) {
      this.fleet.cancelReservation(id, piece.job.resultBytes);
      this.putBackOrFail(piece, `call to upstream ${id} failed: ${reason}`);
    }
  }

  private putBackPieces(
    upstream: StageUpstream,
    taken: readonly TakenPiece[],
  ): void {
    for (const piece of taken) {
      this.fleet.cancelReservation(upstream.record.id, piece.job.resultBytes);
      this.putBack(piece);
    }
  }

  private putBackOrFail(taken: TakenPiece, message: string): void {
    if (taken.state.recordFailedPiece()) this.putBack(taken);
    else this.failJob(taken.state, 'failed', message);
  }

  // The stages before it have to run again, and the sooner the better.
  private putBack({state, piece}: TakenPiece): void {
    if (state.putBackPiece(piece.piece)) return;
    this.failJob(state, 'input-gone', 'a call ended after its inputs had gone');
  }

  private failJob(
    state: JobState,
    failure: StageFailure,
    message: string,
    retryAfterMs?: number,
  ): void {
    state.fail(failure, message, retryAfterMs);
    this.releaseResults(state.listResults());
  }
}

function listStates(taken: readonly TakenPiece[]): ReadonlySet<JobState> {
  return new Set(taken.map(({state}) => state));
}

function listShares(
  taken: readonly TakenPiece[],
  {pieceMs}: StageCapacity,
): CallShare[] {
  const counts = new Map<string, number>();
  for (const {job} of taken) {
    counts.set(job.stageKey, (counts.get(job.stageKey) ?? 0) + 1);
  }
  return [...counts].map(([stageKey, itemCount]) => ({
    stageKey,
    itemCount,
    configuredMs: pieceMs,
  }));
}
