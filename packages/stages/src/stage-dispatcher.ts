import {randomBytes} from 'node:crypto';
import {addAbortHandler} from '@hollowstack/cancellation';
import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {
  type Membership,
  type NotificationQueue,
  type PeerNotification,
  type PeerLink,
  type PeerRecord,
  type PeerReply,
} from '@hollowstack/peers';
import type {
  StageAdmissionRequest,
  StageJob,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import {AdmissionThrottle} from './admission-throttle.ts';
import {CANCELLED} from './job-state.ts';
import {PeerWatch} from './peer-watch.ts';
import type {StageAdmissionDecision} from './stage-admission.ts';
import type {StageCoordinator} from './stage-coordinator.ts';
import type {StagePlanners} from './stage-planners.ts';

/** Dependencies of StageDispatcher. */
export interface StageDispatcherParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly link: PeerLink;
  readonly notes: NotificationQueue;
  readonly membership: Membership;
  readonly planners: StagePlanners;
  /** This instance's own coordinator. */
  readonly local: StageCoordinator;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
}

/** Whether a request may start its stages, and the planner that decided so. */
export interface PlannerDecision extends StageAdmissionDecision {
  readonly plannerId: string;
}

/** A job without the fields that each submission adds: its id and owner. */
export type UnsentStageJob = Omit<StageJob, 'jobId' | 'owner'>;

/** Maximum submissions of a job, which is submitted again if its planner is gone. */
const MAX_SUBMISSIONS = 4;
/** Milliseconds before a job is submitted again that its receiver does not plan. */
const VIEW_DELAY_MS = 50;
const NOT_PLANNING = {
  type: 'failed',
  message: 'this instance plans no stages',
} as const satisfies PeerReply;
/**
 * Time by which the wait for a coordinator's reply exceeds the remaining time of the job, so
 * that the coordinator can still report that the deadline has passed.
 */
const REPLY_MARGIN_MS = 100;
/** Maximum number of times that a cancellation is sent. */
const MAX_CANCELLATIONS = 3;
/** Timeout of a cancellation, and pause before it is sent again; no request waits for it. */
const CANCEL_TIMEOUT_MS = 200;
const CANCEL_RETRY_DELAY_MS = 50;
/** Timeout of admission as a share of the time until the request's objective, with bounds. */
const ADMIT_TIMEOUT_SHARE = 0.125;
const MIN_ADMIT_TIMEOUT_MS = 100;
const MAX_ADMIT_TIMEOUT_MS = 400;
/** Bounds of the retry delay of requests that a busy coordinator does not answer, in milliseconds. */
const BUSY_RETRY_MS = {least: 500, most: 1500} as const;
/** Random bytes in a job id; enough to make a collision practically impossible. */
const JOB_ID_BYTES = 8;

/**
 * Submits jobs to the instances that plan stages. If two instances plan for an upstream at the
 * same time, batches are less full, but results stay correct.
 */
export class StageDispatcher {
  private readonly parts: StageDispatcherParts;
  private readonly peerWatch: PeerWatch;
  private readonly throttle: AdmissionThrottle;
  /** Cancel the jobs of peers that were passed on, by job id. */
  private readonly forwardedJobs = new Map<string, AbortController>();
  private lastPlannerIds = '';

  constructor(parts: StageDispatcherParts) {
    this.parts = parts;
    this.peerWatch = new PeerWatch(parts);
    this.throttle = new AdmissionThrottle(parts);
  }

  /**
   * Asks the coordinator whether the stages of a request may start. A request that a busy
   * coordinator does not answer in time is rejected, since its stages would wait there as well.
   * If the coordinator is silent, the request is admitted, so that an outage does not reject it.
   */
  async admitRequest(request: StageAdmissionRequest): Promise<PlannerDecision> {
    const [planner, second] = this.parts.planners.listForRequest(
      request.requestId,
    );
    const {clock} = this.parts;
    const timeoutMs = computeAdmitTimeoutMs(request);
    const askedAtMs = clock.getNow();
    const decision = await this.askPlanner(planner, request, timeoutMs);
    const leftMs = timeoutMs - (clock.getNow() - askedAtMs);
    if (decision.isAdmitted || !second || leftMs < MIN_ADMIT_TIMEOUT_MS) {
      return decision;
    }
    const other = await this.askPlanner(second, request, leftMs);
    return other.isAdmitted ? other : decision;
  }

  private async askPlanner(
    planner: PeerRecord,
    request: StageAdmissionRequest,
    timeoutMs: number,
  ): Promise<PlannerDecision> {
    const {clock, link, local} = this.parts;
    const {id, address} = planner;
    if (this.isSelf(planner)) {
      return {...local.admitRequest(request), plannerId: id};
    }
    if (!this.throttle.maySend(id)) {
      this.countAdmission('throttled');
      return this.createBusyRejection(id);
    }
    const sentAtMs = clock.getNow();
    const reply = await link
      .sendRequest(address, {type: 'stage-admit', request}, timeoutMs)
      .catch((): undefined => undefined);
    if (reply?.type === 'stage-admission') {
      this.throttle.recordOutcome(id, true);
      this.countAdmission(reply.isAdmitted ? 'admitted' : 'rejected');
      return {...reply, plannerId: id};
    }
    this.countAdmission('unanswered');
    if (reply || !this.isBusy(address, sentAtMs)) {
      return {
        isAdmitted: true,
        predictedMs: 0,
        retryAfterMs: 0,
        plannerId: id,
      };
    }
    this.throttle.recordOutcome(id, false);
    // The planner may have admitted the request by the time it reads this.
    this.endRequest(request.requestId, id);
    return this.createBusyRejection(id);
  }

  // Whether a peer has sent other messages while an answer was due.
  private isBusy(address: string, sentAtMs: number): boolean {
    const {clock, link} = this.parts;
    return link.getSilenceMs(address) < clock.getNow() - sentAtMs;
  }

  private createBusyRejection(plannerId: string): PlannerDecision {
    return {
      isAdmitted: false,
      predictedMs: 0,
      retryAfterMs: this.chooseRetryMs(),
      reason: 'the coordinator of the stages is overloaded',
      plannerId,
    };
  }

  private chooseRetryMs(): number {
    const {least, most} = BUSY_RETRY_MS;
    return least + this.parts.random() * (most - least);
  }

  /**
   * Notifies the planner of a request that it needs no more stages.
   *
   * @param firstMs Milliseconds from sending the request, after its stages, to its first event.
   */
  endRequest(requestId: string, plannerId?: string, firstMs?: number): void {
    const {notes, local, planners} = this.parts;
    const [planner] = planners.listForRequest(requestId, plannerId);
    if (this.isSelf(planner)) {
      local.endRequest(requestId, firstMs);
      return;
    }
    // A failed notification is ignored: a planner that is gone has lost the request as well.
    notes
      .sendNotification(planner.address, {
        type: 'stage-end',
        requestId,
        firstMs,
      })
      .catch(() => {});
  }

  /**
   * Runs a job at a planner. Cancels the job if the signal aborts.
   *
   * @param plannerId Id of the planner that admitted the request, if known.
   */
  async runJob(
    unsent: UnsentStageJob,
    signal: AbortSignal,
    plannerId?: string,
  ): Promise<StageOutcome> {
    const {clock, planners} = this.parts;
    const startedAtMs = clock.getNow();
    for (let submission = 0; submission < MAX_SUBMISSIONS; submission++) {
      if (signal.aborted) return {type: 'failed', ...CANCELLED};
      const job = this.createJob(unsent, startedAtMs);
      if (job.remainingMs <= 0) break;
      const [planner] = planners.listForRequest(job.requestId, plannerId);
      this.recordPlanners();
      const outcome = this.isSelf(planner)
        ? await this.runLocally(job, signal)
        : await this.sendToPlanner(job, planner, signal);
      if (outcome) return outcome;
    }
    if (signal.aborted) return {type: 'failed', ...CANCELLED};
    return {
      type: 'failed',
      failure: 'overloaded',
      message: 'no instance that plans stages answered',
      retryAfterMs: this.chooseRetryMs(),
    };
  }

  /**
   * Answers the job of a peer. An instance that plans for no upstream passes it on once, so that a
   * peer with another view of the planners adds no planner.
   */
  async answerJob(job: StageJob): Promise<PeerReply> {
    const {local, planners} = this.parts;
    if (planners.isPlanner()) {
      const outcome = await local.runJob(job);
      const hasLostRole = outcome.type === 'failed' && !planners.isPlanner();
      return hasLostRole ? NOT_PLANNING : {type: 'stage-outcome', outcome};
    }
    if (job.isForwarded) return NOT_PLANNING;
    const [planner] = planners.listForRequest(job.requestId);
    const controller = new AbortController();
    this.forwardedJobs.set(job.jobId, controller);
    try {
      const outcome = await this.sendToPlanner(
        {...job, isForwarded: true},
        planner,
        controller.signal,
      );
      return outcome ? {type: 'stage-outcome', outcome} : NOT_PLANNING;
    } finally {
      this.forwardedJobs.delete(job.jobId);
    }
  }

  /** Cancels the job of a peer, here or where it was passed on to. */
  cancelPeerJob(jobId: string): void {
    const forwarded = this.forwardedJobs.get(jobId);
    if (forwarded) forwarded.abort(new Error('cancelled by the peer'));
    else this.parts.local.cancelJob(jobId);
  }

  /** Answers the admission request of a peer, passing it on once like a job. */
  async answerAdmission(request: StageAdmissionRequest): Promise<PeerReply> {
    const {local, link, planners} = this.parts;
    if (planners.isPlanner()) {
      return {type: 'stage-admission', ...local.admitRequest(request)};
    }
    if (request.isForwarded) return NOT_PLANNING;
    const [planner] = planners.listForRequest(request.requestId);
    return link.sendRequest(
      planner.address,
      {type: 'stage-admit', request: {...request, isForwarded: true}},
      computeAdmitTimeoutMs(request),
    );
  }

  private createJob(unsent: UnsentStageJob, startedAtMs: number): StageJob {
    const {clock, membership} = this.parts;
    const passedMs = clock.getNow() - startedAtMs;
    const self = membership.getSelf();
    return {
      ...unsent,
      owner:
        self.startedAtMs === undefined
          ? undefined
          : {instance: self.id, startedAtMs: self.startedAtMs},
      jobId: randomBytes(JOB_ID_BYTES).toString('hex'),
      dueInMs: unsent.dueInMs - passedMs,
      remainingMs: unsent.remainingMs - passedMs,
    };
  }

  /**
   * Releases results through the planners of their upstreams, or through this instance if a
   * planner cannot be notified.
   */
  releaseResults(results: readonly StageResult[]): void {
    const {planners, local, notes} = this.parts;
    const groups = Map.groupBy(results, ({address}) =>
      planners.getPlannerOf(address),
    );
    for (const [planner, group] of groups) {
      if (this.isSelf(planner)) {
        local.releaseResults(group);
        continue;
      }
      const notification: PeerNotification = {
        type: 'stage-release',
        results: group,
      };
      notes
        .sendNotification(planner.address, notification)
        .catch(() => local.releaseResults(group));
    }
  }

  private isSelf({id}: PeerRecord): boolean {
    return id === this.parts.membership.getSelf().id;
  }

  private async runLocally(
    job: StageJob,
    signal: AbortSignal,
  ): Promise<StageOutcome> {
    const removeAbortHandler = addAbortHandler(signal, () =>
      this.parts.local.cancelJob(job.jobId),
    );
    try {
      return await this.parts.local.runJob(job);
    } finally {
      removeAbortHandler();
    }
  }

  // Resolves with undefined if the job has to be submitted again.
  private async sendToPlanner(
    job: StageJob,
    planner: PeerRecord,
    signal: AbortSignal,
  ): Promise<StageOutcome | undefined> {
    const {link, membership} = this.parts;
    const {address, id} = planner;
    const removeAbortHandler = addAbortHandler(
      signal,
      () => void this.cancelAtPlanner(job, planner),
    );
    const watchHandle = this.peerWatch.beginWatching(planner);
    const sentAtMs = this.parts.clock.getNow();
    try {
      const reply = await Promise.race([
        link.sendRequest(
          address,
          {type: 'stage-job', job},
          job.remainingMs + REPLY_MARGIN_MS,
        ),
        watchHandle.failed,
      ]);
      if (reply?.type === 'stage-outcome') return reply.outcome;
      if (isNotPlanning(reply)) await this.waitForView(signal);
      else membership.recordUnreachable(id);
      return undefined;
    } catch {
      if (!this.isBusy(address, sentAtMs)) membership.recordUnreachable(id);
      return undefined;
    } finally {
      watchHandle.end();
      removeAbortHandler();
    }
  }

  // Gives the views of the instances time to become the same.
  private waitForView(signal: AbortSignal): Promise<void> {
    return waitFor(this.parts.clock, VIEW_DELAY_MS, signal).catch(() => {});
  }

  // A lost cancellation would leave the upstreams of the stage at work.
  private async cancelAtPlanner(
    {jobId, requestId}: StageJob,
    {id, address}: PeerRecord,
  ): Promise<void> {
    const {clock, link, logger} = this.parts;
    let reason = '';
    for (let attempt = 1; attempt <= MAX_CANCELLATIONS; attempt++) {
      try {
        await link.sendRequest(
          address,
          {type: 'stage-cancel', jobId},
          CANCEL_TIMEOUT_MS,
        );
        return;
      } catch (error) {
        reason = error instanceof Error ? error.message : String(error);
      }
      await waitFor(clock, CANCEL_RETRY_DELAY_MS);
    }
    logger.logEvent('stage.cancel-failed', {
      requestId,
      jobId,
      coordinator: id,
      reason,
    });
  }

  private countAdmission(outcome: string): void {
    this.parts.metrics.addToCounter('hollowstack_stage_admissions_total', {
      outcome,
    });
  }

  private recordPlanners(): void {
    const ids = this.parts.planners.listIds().join(',');
    if (ids === this.lastPlannerIds) return;
    this.parts.logger.logEvent('stage.coordinator', {
      coordinator: ids,
      before: this.lastPlannerIds,
      members: this.parts.membership.getLiveCount(),
    });
    this.lastPlannerIds = ids;
  }
}

function computeAdmitTimeoutMs({dueInMs}: StageAdmissionRequest): number {
  const timeoutMs = dueInMs * ADMIT_TIMEOUT_SHARE;
  return Math.min(
    MAX_ADMIT_TIMEOUT_MS,
    Math.max(MIN_ADMIT_TIMEOUT_MS, timeoutMs),
  );
}

function isNotPlanning(reply: PeerReply | undefined): boolean {
  return reply?.type === 'failed' && reply.message === NOT_PLANNING.message;
}
