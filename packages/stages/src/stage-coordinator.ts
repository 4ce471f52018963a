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

/** What the coordinator works with. */
export interface StageCoordinatorParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly caller: Pick<StageCaller, 'runPieces' | 'releaseResults' | 'close'>;
  /** The upstreams that asked this instance for no work. */
  readonly backOffs: StageBackOffs;
  readonly limiter: StageLimiter;
  /** Has the view of upstreams refreshed before calls are made by a stale one. */
  readonly freshnessGuard: Pick<FreshnessGuard, 'isRefreshDue' | 'refresh'>;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  /** Whether inputs are given back while the calls that have read them still work. */
  readonly releasesInputsEarly: boolean;
}

/** Milliseconds between two plans while jobs wait that nothing else wakes. */
const REPLAN_MS = 20;
/**
 * Gathers the pieces of many requests, from all instances that submit them
 * here, into calls that fill the upstreams' batches.
 */
export class StageCoordinator {
  private readonly parts: StageCoordinatorParts;
  private readonly jobs: JobTable;
  private readonly fleet: StageFleet;
  private readonly releaser: ResultReleaser;
  private readonly runner: BatchRunner;
  private readonly admission: StageAdmission;
  private readonly times = new ServiceTimes();
  private timer: Timer | undefined;

  constructor(parts: StageCoordinatorParts) {
    this.parts = parts;
    this.fleet = new StageFleet({
      clock: parts.clock,
      backOffs: parts.backOffs,
      limiter: parts.limiter,
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
      getGatherMs: address => this.fleet.getReleaseIntervalMs(address),
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

  /** Decides whether the stages of a request may begin. */
  admitRequest(request: StageAdmissionRequest): StageAdmissionDecision {
    return this.admission.judge(request);
  }

  /** Notes how long a request took to its first bytes once its stages were done. */
  recordFirstEvent(requestId: string, firstMs: number): void {
    this.admission.recordFirstEvent(requestId, firstMs);
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
      const state = this.jobs.add(job, outcome => {
        this.admission.recordDone(job.service, job.requestId, job.stage);
        resolve(outcome);
      });
      this.recordPhase(state);
      this.scheduleCalls();
    });
  }

  /** Gives a job up; what is still made for it is released. */
  cancelJob(jobId: string): void {
    const state = this.jobs.find(jobId);
    if (!state) return;
    this.jobs.fail(state, 'cancelled', 'the request was given up');
  }

  /** Gives results back to the upstreams that keep them. */
  releaseResults(results: readonly StageResult[]): void {
    this.releaser.addResults(results);
  }

  /** Lists the results that are held, and who reads them. */
  listOwnedResults(): OwnedResult[] {
    return this.fleet.listOwnedResults();
  }

  /**
   * Gives results back that a coordinator before this one held for instances that are
   * gone. Addresses that no upstream of stages has any more are left alone.
   */
  releaseOrphans(results: readonly OwnedResult[]): void {
    const known = results.filter(({address}) => this.fleet.hasAddress(address));
    this.releaseResults(known);
  }

  /** Fails all jobs: after a pause their submitters have gone elsewhere. */
  failAllJobs(message: string): void {
    this.jobs.failAll(message);
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
    this.jobs.failOverdue();
    this.fleet.removeExpired();
    const services = this.jobs.listServices();
    const {freshnessGuard} = this.parts;
    if (services.size > 0 && freshnessGuard.isRefreshDue()) {
      void freshnessGuard.refresh().then(() => this.scheduleCalls());
      return;
    }
    for (const service of services) this.runServiceCalls(service, nowMs);
    if (services.size > 0) {
      this.timer?.cancel();
      this.timer = this.parts.clock.schedule(REPLAN_MS, () =>
        this.runDueCalls(),
      );
    }
  }

  private runServiceCalls(service: string, nowMs: number): void {
    const capacity = this.fleet.getCapacity(service);
    if (!capacity) return;
    const shortage = this.fleet.findShortage(service);
    if (shortage !== undefined) {
      this.jobs.failUnservable(service, shortage, capacity);
      return;
    }
    const probe = this.fleet.findDueProbe(service, capacity);
    let batches = probe ? this.assembleCalls(service, capacity, [probe]) : [];
    if (batches.length === 0) {
      const waiting = this.jobs.countWaitingPieces(service);
      const free = this.fleet.listFree(service, capacity, waiting);
      batches = this.assembleCalls(service, capacity, free);
    }
    const isLoaded = this.hasBatchLeft(service, capacity, batches);
    for (const batch of batches) {
      void this.runner.runBatch(batch, {capacity, nowMs, hasBacklog: isLoaded});
    }
  }

  private assembleCalls(
    service: string,
    capacity: StageCapacity,
    free: readonly StageUpstream[],
  ): Batch[] {
    const nowMs = this.parts.clock.getNow();
    const used = this.fleet.listActive(service);
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
      domainsInUse: new Set(used.map(({record}) => record.failureDomain)),
      upstreamsInUse: used.length,
      hasNormalSpeedUpstream: used.some(
        upstream => upstream.getSlowness(nowMs) < SLOW_FACTOR,
      ),
    });
  }

  // Calls that leave less than another call's items waiting are as small as the load
  // is; how full calls can be is seen only where there is more.
  private hasBatchLeft(
    service: string,
    {batchSize}: StageCapacity,
    batches: readonly Batch[],
  ): boolean {
    let left = this.jobs.countWaitingPieces(service);
    for (const {parts} of batches) {
      for (const {pieceCount} of parts) left -= pieceCount;
    }
    return left >= batchSize;
  }

  private recordPhase({job, waitingCount}: JobState): void {
    const phase = waitingCount > 0 ? 'queued' : 'running';
    this.admission.recordPhase(job.service, job.requestId, job.stage, phase);
  }
}
