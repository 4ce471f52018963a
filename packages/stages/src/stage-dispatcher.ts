import {randomBytes} from 'node:crypto';
import {addAbortHandler} from '@hollowstack/cancellation';
import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {
  chooseCoordinator,
  type Membership,
  type NotificationQueue,
  type PeerNotification,
  type PeerLink,
  type PeerRecord,
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

/** Dependencies of StageDispatcher. */
export interface StageDispatcherParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly link: PeerLink;
  readonly notes: NotificationQueue;
  readonly membership: Membership;
  /** This instance's own coordinator. */
  readonly local: StageCoordinator;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
}

/** A job without the fields that each submission adds: its id and owner. */
export type UnsentStageJob = Omit<StageJob, 'jobId' | 'owner'>;

/**
 * Maximum submissions of a job, which is submitted again if its coordinator is gone. After the
 * last one the job runs at this instance.
 */
const MAX_SUBMISSIONS = 2;
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
 * Submits jobs to the instance that coordinates stages. If two instances act as coordinator at
 * the same time, batches are less full, but results stay correct.
 */
export class StageDispatcher {
  private readonly parts: StageDispatcherParts;
  private readonly peerWatch: PeerWatch;
  private readonly throttle: AdmissionThrottle;
  private lastCoordinatorId = '';

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
  async admitRequest(
    request: StageAdmissionRequest,
  ): Promise<StageAdmissionDecision> {
    const {clock, link, local, membership} = this.parts;
    const coordinator = chooseCoordinator(membership);
    if (!coordinator) return local.admitRequest(request);
    const {id, address} = coordinator;
    if (!this.throttle.maySend(id)) {
      this.countAdmission('throttled');
      return this.createBusyRejection();
    }
    const sentAtMs = clock.getNow();
    const reply = await link
      .sendRequest(
        address,
        {type: 'stage-admit', request},
        computeAdmitTimeoutMs(request),
      )
      .catch((): undefined => undefined);
    if (reply?.type === 'stage-admission') {
      this.throttle.recordOutcome(id, true);
      this.countAdmission(reply.isAdmitted ? 'admitted' : 'rejected');
      return reply;
    }
    this.countAdmission('unanswered');
    if (reply || !this.isBusy(address, sentAtMs)) {
      return {isAdmitted: true, predictedMs: 0, retryAfterMs: 0};
    }
    this.throttle.recordOutcome(id, false);
    // The coordinator may have admitted the request by the time it reads this.
    this.endRequest(request.requestId);
    return this.createBusyRejection();
  }

  // Whether a peer has sent other messages while an answer was due.
  private isBusy(address: string, sentAtMs: number): boolean {
    const {clock, link} = this.parts;
    return link.getSilenceMs(address) < clock.getNow() - sentAtMs;
  }

  private createBusyRejection(): StageAdmissionDecision {
    const {least, most} = BUSY_RETRY_MS;
    return {
      isAdmitted: false,
      predictedMs: 0,
      retryAfterMs: least + this.parts.random() * (most - least),
      reason: 'the coordinator of the stages is overloaded',
    };
  }

  /** Notifies the coordinator that a request needs no more stages. */
  endRequest(requestId: string): void {
    const {notes, local, membership} = this.parts;
    const coordinator = chooseCoordinator(membership);
    if (!coordinator) {
      local.endRequest(requestId);
      return;
    }
    // A failed notification is ignored: a coordinator that is gone has lost the request as well.
    notes
      .sendNotification(coordinator.address, {type: 'stage-end', requestId})
      .catch(() => {});
  }

  /**
   * Runs a job at the coordinator, or at this instance if no coordinator answers. Cancels the
   * job if the signal aborts.
   */
  async runJob(
    unsent: UnsentStageJob,
    signal: AbortSignal,
  ): Promise<StageOutcome> {
    const {clock} = this.parts;
    const startedAtMs = clock.getNow();
    let outcome: StageOutcome | undefined;
    for (let submission = 0; submission < MAX_SUBMISSIONS; submission++) {
      if (signal.aborted) return {type: 'failed', ...CANCELLED};
      const job = this.createJob(unsent, startedAtMs);
      if (job.remainingMs <= 0) break;
      outcome = await this.attemptJob(job, signal);
      if (outcome) return outcome;
    }
    if (signal.aborted) return {type: 'failed', ...CANCELLED};
    return this.runWithoutCoordinator(unsent, startedAtMs, signal);
  }

  // Used if no coordinator answers.
  private runWithoutCoordinator(
    unsent: UnsentStageJob,
    startedAtMs: number,
    signal: AbortSignal,
  ): Promise<StageOutcome> {
    return this.runLocally(this.createJob(unsent, startedAtMs), signal);
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
   * Releases results through the coordinator, or through this instance if the coordinator
   * cannot be notified.
   */
  releaseResults(results: readonly StageResult[]): void {
    if (results.length === 0) return;
    const coordinator = chooseCoordinator(this.parts.membership);
    if (!coordinator) {
      this.parts.local.releaseResults(results);
      return;
    }
    const notification: PeerNotification = {
      type: 'stage-release',
      results: [...results],
    };
    this.parts.notes
      .sendNotification(coordinator.address, notification)
      .catch(() => this.parts.local.releaseResults(results));
  }

  // Resolves with undefined if the coordinator is gone and the job has to be submitted again.
  private async attemptJob(
    job: StageJob,
    signal: AbortSignal,
  ): Promise<StageOutcome | undefined> {
    const coordinator = chooseCoordinator(this.parts.membership);
    this.recordCoordinator(
      coordinator?.id ?? this.parts.membership.getSelf().id,
    );
    if (!coordinator) return this.runLocally(job, signal);
    return this.sendToCoordinator(job, coordinator, signal);
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

  private async sendToCoordinator(
    job: StageJob,
    coordinator: PeerRecord,
    signal: AbortSignal,
  ): Promise<StageOutcome | undefined> {
    const {link, membership} = this.parts;
    const {address, id} = coordinator;
    const removeAbortHandler = addAbortHandler(
      signal,
      () => void this.cancelAtCoordinator(job, coordinator),
    );
    const watchHandle = this.peerWatch.beginWatching(coordinator);
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
      membership.recordUnreachable(id);
      return undefined;
    } catch {
      if (!this.isBusy(address, sentAtMs)) membership.recordUnreachable(id);
      return undefined;
    } finally {
      watchHandle.end();
      removeAbortHandler();
    }
  }

  // A lost cancellation would leave the upstreams of the stage at work.
  private async cancelAtCoordinator(
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

  private recordCoordinator(id: string): void {
    if (id === this.lastCoordinatorId) return;
    this.parts.logger.logEvent('stage.coordinator', {
      coordinator: id,
      before: this.lastCoordinatorId,
      members: this.parts.membership.getLiveCount(),
    });
    this.lastCoordinatorId = id;
  }
}

function computeAdmitTimeoutMs({dueInMs}: StageAdmissionRequest): number {
  const timeoutMs = dueInMs * ADMIT_TIMEOUT_SHARE;
  return Math.min(
    MAX_ADMIT_TIMEOUT_MS,
    Math.max(MIN_ADMIT_TIMEOUT_MS, timeoutMs),
  );
}
