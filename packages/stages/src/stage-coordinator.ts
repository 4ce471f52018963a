import type {Clock, Timer} from '@hollowstack/clock';
import type {FreshnessGuard} from '@hollowstack/freshness';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {
  RegisteredUpstream,
  RouteTable,
  StageCapacity,
} from '@hollowstack/routes';
import type {
  OwnedResult,
  StageAdmissionRequest,
  StageJob,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import {SLOW_FACTOR, assembleBatches, type Batch} from './batch-plan.ts';
import {BatchRunner} from './batch-runner.ts';
import {CoordinatorLoad} from './coordinator-load.ts';
import {EarlyInputReleaser} from './early-input-releaser.ts';
import type {JobState} from './job-state.ts';
import {JobTable} from './job-table.ts';
import {ResultReleaser} from './result-releaser.ts';
import {ServiceTimes} from './service-times.ts';
import {
  StageAdmission,
  type StageAdmissionDecision,
} from './stage-admission.ts';
import type {StageCaller} from './stage-caller.ts';
import type {StageUpstream} from './stage-upstream.ts';
import {
  StageFleet,
  type StageBackOffs,
  type StageLimiter,
} from './stage-fleet.ts';

/** Dependencies of StageCoordinator. */
export interface StageCoordinatorParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly caller: Pick<StageCaller, 'runPieces' | 'releaseResults' | 'close'>;
  /** Back-offs that upstreams have requested from this instance. */
  readonly backOffs: StageBackOffs;
  readonly limiter: StageLimiter;
  /** Refreshes a stale view of the upstreams before calls are planned. */
  readonly freshnessGuard: Pick<FreshnessGuard, 'isRefreshDue' | 'refresh'>;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
  /**
   * Whether inputs are released while the calls that have read them are still in flight.
   */
  readonly releasesInputsEarly: boolean;
  /** Returns whether this instance plans the calls to an upstream; all if left out. */
  readonly mayPlan?: (upstreamId: string) => boolean;
}

/** Interval between plans while jobs wait; other events trigger a plan earlier. */
const REPLAN_INTERVAL_MS = 20;

/**
 * Batches the pieces of many requests, submitted by all instances, into calls to the
 * upstreams of the stage services.
 */
export class StageCoordinator {
  private readonly parts: StageCoordinatorParts;
  private readonly jobs: JobTable;
  private readonly fleet: StageFleet;
  private readonly releaser: ResultReleaser;
  private readonly runner: BatchRunner;
  private readonly admission: StageAdmission;
  private readonly times = new ServiceTimes();
  private readonly load: CoordinatorLoad;
  private timer: Timer | undefined;
  private planDueAtMs = Infinity;

  constructor(parts: StageCoordinatorParts) {
    this.parts = parts;
    this.load = new CoordinatorLoad({
      clock: parts.clock,
      countJobs: () => this.jobs.size,
    });
    this.fleet = new StageFleet({
      clock: parts.clock,
      backOffs: parts.backOffs,
      limiter: parts.limiter,
      times: this.times,
      mayPlan: parts.mayPlan,
    });
    this.admission = new StageAdmission({
      clock: parts.clock,
      fleet: this.fleet,
      times: this.times,
      random: parts.random,
      predictJobMs: () => this.load.predictJobMs(),
    });
    this.releaser = new ResultReleaser({
      clock: parts.clock,
      caller: parts.caller,
      getWaitMs: address => this.fleet.getReleaseWaitMs(address),
      getBatchDelayMs: address => this.fleet.getReleaseIntervalMs(address),
      handleReleased: handles => {
        this.fleet.recordReleased(handles);
        this.scheduleCalls();
      },
    });
    const releaseResults = (results: readonly StageResult[]) =>
      this.releaseResults(results);
    this.jobs = new JobTable({
      getNow: () => parts.clock.getNow(),
      times: this.times,
      releaseResults,
    });
    this.runner = new BatchRunner({
      ...parts,
      jobs: this.jobs,
      fleet: this.fleet,
      times: this.times,
      inputReleaser: new EarlyInputReleaser({
        clock: parts.clock,
        fleet: this.fleet,
        releaseResults,
      }),
      releaseResults,
      handlePhaseChange: state => this.recordPhase(state),
      handleCallEnd: () => this.scheduleCalls(),
    });
  }

  /** Decides whether the stages of a request may start. */
  admitRequest(request: StageAdmissionRequest): StageAdmissionDecision {
    return this.admission.judge(request);
  }

  /**
   * Removes a request that needs no more stages from the pending work.
   *
   * @param firstMs Milliseconds from sending the request, after its stages, to its first event.
   */
  endRequest(requestId: string, firstMs?: number): void {
    if (firstMs !== undefined) {
      this.admission.recordFirstEvent(requestId, firstMs);
    }
    this.admission.recordEnded(requestId);
  }

  /** Applies the stage services of a newer configuration. */
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

  /** Replaces the set of registered upstreams. */
  setUpstreams(records: readonly RegisteredUpstream[]): void {
    this.fleet.setUpstreams(records);
    this.scheduleCalls();
  }

  /** Queues a job and resolves with its outcome. */
  runJob(job: StageJob): Promise<StageOutcome> {
    const cancelled = this.jobs.takeEarlyCancel(job.jobId);
    if (cancelled) return Promise.resolve(cancelled);
    return new Promise(resolve => {
      const state = this.jobs.add(job, outcome => {
        this.admission.recordDone(job.service, job.requestId, job.stage);
        this.load.recordSettled();
        resolve(outcome);
      });
      this.recordPhase(state);
      this.scheduleCalls();
    });
  }

  /** Cancels a job and releases its results, including those of calls in flight. */
  cancelJob(jobId: string): void {
    const state = this.jobs.find(jobId);
    const {logger} = this.parts;
    logger.logEvent('stage.job-cancelled', {
      jobId,
      requestId: state?.job.requestId,
      service: state?.job.service,
      pieces: state?.job.pieceCount,
      waitingPieces: state?.waitingCount,
      isKnown: state !== undefined,
    });
    this.jobs.cancel(jobId);
  }

  /** Releases results at the upstreams that store them. */
  releaseResults(results: readonly StageResult[]): void {
    this.releaser.addResults(results);
  }

  /** Lists the stored results whose owner is known. */
  listOwnedResults(): OwnedResult[] {
    return this.fleet.listOwnedResults();
  }

  /**
   * Releases results that a previous coordinator stored for instances that no longer exist.
   * Results at addresses without a registered stage upstream are skipped.
   */
  releaseOrphans(results: readonly OwnedResult[]): void {
    const known = results.filter(({address}) => this.fleet.hasAddress(address));
    this.releaseResults(known);
  }

  /**
   * Fails all jobs. Called after this process was paused, since the submitters have changed to
   * another coordinator by then.
   */
  failAllJobs(message: string): void {
    this.jobs.failAll(message);
  }

  /** Counts the bytes of results that are reserved or stored at an upstream. */
  countUsedBytes(upstreamId: string): number {
    return this.fleet.getUsedBytes(upstreamId);
  }

  /** Returns the number of unsettled jobs. */
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
    this.schedulePlan(0);
  }

  // A plan that is due earlier stays, so that frequent events do not postpone it.
  private schedulePlan(delayMs: number): void {
    const {clock} = this.parts;
    const dueAtMs = clock.getNow() + delayMs;
    if (this.planDueAtMs <= dueAtMs) return;
    this.timer?.cancel();
    this.planDueAtMs = dueAtMs;
    this.timer = clock.schedule(delayMs, () => {
      this.planDueAtMs = Infinity;
      this.load.recordDelay(clock.getNow() - dueAtMs);
      this.runDueCalls();
    });
  }

  private runDueCalls(): void {
    const nowMs = this.parts.clock.getNow();
    this.jobs.failOverdue();
    this.fleet.removeExpired();
    const services = this.jobs.listServices();
    const {freshnessGuard} = this.parts;
    if (services.size > 0 && freshnessGuard.isRefreshDue()) {
      void freshnessGuard.refresh().then(() => this.scheduleCalls());
      return;
    }
    for (const service of services) this.runServiceCalls(service, nowMs);
    if (services.size > 0) this.schedulePlan(REPLAN_INTERVAL_MS);
  }

  private runServiceCalls(service: string, nowMs: number): void {
    const capacity = this.fleet.getCapacity(service);
    if (!capacity) return;
    const unavailability = this.fleet.findUnavailability(service);
    if (unavailability !== undefined) {
      this.jobs.failUnservable(service, unavailability, capacity);
      return;
    }
    const probe = this.fleet.findDueProbe(service, capacity);
    let batches = probe ? this.assembleCalls(service, capacity, [probe]) : [];
    if (batches.length === 0) {
      const waiting = this.jobs.countWaitingPieces(service);
      const free = this.fleet.listFree(service, capacity, waiting);
      batches = this.assembleCalls(service, capacity, free);
    }
    const hasBacklog = this.hasBatchWaiting(service, capacity, batches);
    for (const batch of batches) {
      void this.runner.runBatch(batch, {capacity, nowMs, hasBacklog});
    }
  }

  private assembleCalls(
    service: string,
    capacity: StageCapacity,
    free: readonly StageUpstream[],
  ): Batch[] {
    const nowMs = this.parts.clock.getNow();
    const active = this.fleet.listActive(service);
    return assembleBatches({
      nowMs,
      capacity,
      jobs: this.jobs.listWaiting(service, capacity),
      free: free.map(upstream => ({
        id: upstream.record.id,
        failureDomain: upstream.record.failureDomain,
        freeBytes: this.fleet.countFreeBytes(upstream),
        slowness: upstream.getSlowness(nowMs),
        idleSinceMs: upstream.idleSinceMs,
      })),
      domainsInUse: new Set(active.map(({record}) => record.failureDomain)),
      upstreamsInUse: active.length,
      hasNormalSpeedUpstream: active.some(
        upstream => upstream.getSlowness(nowMs) < SLOW_FACTOR,
      ),
    });
  }

  // If less than a full batch is left waiting, the load limits the size of the calls, so
  // their fill ratio says nothing about how full calls can get.
  private hasBatchWaiting(
    service: string,
    {batchSize}: StageCapacity,
    batches: readonly Batch[],
  ): boolean {
    let remainingCount = this.jobs.countWaitingPieces(service);
    for (const {parts} of batches) {
      for (const {pieceCount} of parts) remainingCount -= pieceCount;
    }
    return remainingCount >= batchSize;
  }

  private recordPhase({job, waitingCount}: JobState): void {
    const phase = waitingCount > 0 ? 'queued' : 'running';
    this.admission.recordPhase(job.service, job.requestId, job.stage, phase);
  }
}
