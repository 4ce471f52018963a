import type {Clock, Timer} from '@hollowstack/clock';
import type {Unavailability, StageCapacity} from '@hollowstack/routes';
import type {StageAdmissionRequest, StageStep} from '@hollowstack/types';
import {FirstEventTimes} from './first-event-times.ts';
import type {ServiceTimes} from './service-times.ts';
import type {StageFleet} from './stage-fleet.ts';
import {
  PendingWorkTable,
  computeWorkMs,
  predictFinishMs,
  type FinishInput,
  type WorkAhead,
} from './pending-work-table.ts';

/** The part of StageFleet that admission uses. */
export type AdmissionFleet = Pick<
  StageFleet,
  | 'getCapacity'
  | 'countCallSlots'
  | 'countMemoryBytes'
  | 'countStoredBytes'
  | 'getRetentionMs'
  | 'findUnavailability'
>;

/** Dependencies of StageAdmission. */
export interface StageAdmissionParts {
  readonly clock: Clock;
  readonly fleet: AdmissionFleet;
  /** Learned durations of calls. */
  readonly times: ServiceTimes;
  /** Returns a random number from 0 to below 1; spreads the retries of refused requests. */
  readonly random: () => number;
  /**
   * Predicts the milliseconds that a job takes because this process is short of processor time; 0
   * if it is not, or if left out.
   */
  readonly predictJobMs?: () => number;
}

/** Whether a request may start its stages. */
export interface StageAdmissionDecision {
  readonly isAdmitted: boolean;
  /** Predicted milliseconds until the first event of the answer. */
  readonly predictedMs: number;
  /**
   * Predicted milliseconds from the end of the stages to the first event, learned from the
   * reports of all instances; undefined if the request is refused or no coordinator answered.
   */
  readonly firstMs?: number;
  /** Milliseconds after which to retry; 0 if the request is admitted. */
  readonly retryAfterMs: number;
  /** Why the request is refused, if not for lack of time. */
  readonly reason?: string;
}

/**
 * Added to the priority of requests that can no longer be in time; 0 is the most urgent.
 */
const LATE_PRIORITY_STEP = 1000;
/**
 * A late request is refused if the predicted time to its first event exceeds this share of its
 * remaining time: requests that arrive after it but can be in time go before it, and callers
 * abandon a stream without events before their time is over. Without this bound late requests
 * waited until their deadline under overload, and the benchmark score fell from 0.580 to 0.543
 * (mean of five simulated days).
 */
const LATE_START_SHARE = 0.4;
/**
 * Safety factor on the predicted waits, which are the uncertain part of a prediction: half of
 * the requests wait longer than predicted. Only waits are scaled: a chain of stages whose work
 * takes 0.55 of the time until its objective is admitted if it is predicted to take at most 0.9
 * of that time; one with a large prompt, whose work takes 0.85, if it is predicted to take at
 * most 0.97. The latter has no time left for a retry, so a refusal would take its only chance.
 */
const WAIT_MARGIN = 1.3;
/**
 * A request that would be late is refused only if it waits for others for more than this share
 * of the time until its objective; after a shorter wait a retry would do no better.
 */
const MIN_WAIT_SHARE = 0.1;
/**
 * Assumed retention of a result, in multiples of a call's fixed duration, until it is
 * learned.
 */
const DEFAULT_RETENTION_CALLS = 4;
/**
 * Bounds of the retry delay as shares of the remaining time; the delay is drawn uniformly
 * between them. Callers wait only about a third of the delay. Overload lasts for seconds, so a
 * caller that retries sooner is refused again, or is admitted late and takes the capacity of a
 * request that would be in time. With a delay of 0.4 s or more for all requests, a class of
 * requests that is refused in bursts was finally refused 261 times out of 3,040, with these
 * shares 57 to 84 times (five runs).
 */
const RETRY_SHARES = {least: 0.2, most: 0.3} as const;
/**
 * Share of the spare time of a request that its stages may wait for a busy coordinator before some
 * requests are rejected, and from which on all are.
 */
const BUSY_SHARES = {some: 0.1, all: 0.4} as const;

/**
 * Decides whether the stages of a request can be done in time. A request that others would
 * make late is refused at once, with a retry delay, if its caller has time for a retry.
 * Otherwise it is admitted with a lower priority, unless too little time would be left to
 * serve it. A request that is late by its own size alone is admitted as it is.
 */
export class StageAdmission {
  private readonly parts: StageAdmissionParts;
  private readonly pendingWork = new PendingWorkTable();
  private readonly timers = new Map<string, Timer>();
  private readonly admitted = new Map<string, StageAdmissionRequest>();
  private readonly firstEventTimes: FirstEventTimes;

  constructor(parts: StageAdmissionParts) {
    this.parts = parts;
    this.firstEventTimes = new FirstEventTimes(parts.clock);
  }

  /** Decides on a request and, if it is admitted, records its pending work. */
  judge(request: StageAdmissionRequest): StageAdmissionDecision {
    if (this.isOverloaded(request)) {
      return createRefusal(
        request,
        this.predictMs(request),
        this.parts.random(),
      );
    }
    const aloneMs = this.predictAloneMs(request);
    const unavailability = this.findUnavailability(request);
    const unavailableMs = unavailability ? getWaitMs(unavailability) : 0;
    const predictedMs = this.predictMs(request) + unavailableMs;
    const waitMs = predictedMs - aloneMs;
    const ownMs = aloneMs - this.computeExtraMs(request);
    const isInTime = ownMs + waitMs * WAIT_MARGIN <= request.dueInMs;
    if (unavailability && !isInTime) {
      const {reason, retryAfterMs} = unavailability;
      return {isAdmitted: false, predictedMs: 0, retryAfterMs, reason};
    }
    if (isInTime || !isDelayedByOthers(request, waitMs)) {
      return this.admit(request, predictedMs);
    }
    if (request.mayComeBack && request.dueInMs > 0) {
      return createRefusal(request, predictedMs, this.parts.random());
    }
    // The request is late in any case. It is admitted behind those that can be in time if
    // enough time is left to serve it.
    const demoted = {
      ...request,
      priority: request.priority + LATE_PRIORITY_STEP,
    };
    const demotedMs = this.predictMs(demoted);
    if (demotedMs > request.remainingMs * LATE_START_SHARE) {
      return createRefusal(request, demotedMs, this.parts.random());
    }
    return this.admit(demoted, demotedMs);
  }

  // Whether this process, not the upstreams, has too little time for the request.
  private isOverloaded(request: StageAdmissionRequest): boolean {
    const jobMs = this.parts.predictJobMs?.() ?? 0;
    if (jobMs === 0) return false;
    const aloneMs = this.predictAloneMs(request);
    const stagesMs = aloneMs - this.predictFirstMs(request);
    const waitMs = jobMs * countLongestChain(request) - stagesMs;
    const {dueInMs, remainingMs} = request;
    const slackMs = dueInMs - aloneMs;
    const mayBeInTime = slackMs > dueInMs * MIN_WAIT_SHARE;
    const spareMs = mayBeInTime ? slackMs : remainingMs - aloneMs;
    const {some, all} = BUSY_SHARES;
    const rejectedShare = (waitMs / Math.max(1, spareMs) - some) / (all - some);
    return this.parts.random() < rejectedShare;
  }

  /**
   * Records the milliseconds from the send of a request, after its stages, to its first event.
   * All instances report it to the coordinator: one of 200 instances has a request of a route
   * only every second or two, which is too few to learn from.
   */
  recordFirstEvent(requestId: string, firstMs: number): void {
    const request = this.admitted.get(requestId);
    if (!request) return;
    this.firstEventTimes.recordFirstEvent(
      request.route,
      request.ownTokens,
      firstMs,
    );
  }

  /** Records whether pieces of a step still wait for calls or all are in flight. */
  recordPhase(
    service: string,
    requestId: string,
    step: number,
    phase: 'queued' | 'running',
  ): void {
    this.pendingWork.setPhase(service, requestId, step, phase);
  }

  /** Removes the pending work of a step that is done. */
  recordDone(service: string, requestId: string, step: number): void {
    this.pendingWork.removeStep(service, requestId, step);
  }

  /** Removes all pending work of a request. */
  recordEnded(requestId: string): void {
    const request = this.admitted.get(requestId);
    this.admitted.delete(requestId);
    this.timers.get(requestId)?.cancel();
    this.timers.delete(requestId);
    request?.steps.forEach(({service}, step) =>
      this.pendingWork.removeStep(service, requestId, step),
    );
  }

  stop(): void {
    for (const id of [...this.admitted.keys()]) this.recordEnded(id);
  }

  // Finds the unavailability that lasts longest; one without a known end counts as longest.
  private findUnavailability({
    steps,
  }: StageAdmissionRequest): Unavailability | undefined {
    const needed = steps.filter(({pieceCount}) => pieceCount > 0);
    return needed
      .map(({service}) => this.parts.fleet.findUnavailability(service))
      .filter(unavailability => unavailability !== undefined)
      .sort((left, right) => getWaitMs(right) - getWaitMs(left))
      .at(0);
  }

  private predictMs(request: StageAdmissionRequest): number {
    return this.predictWithWaits(request, (service, phase) =>
      this.computeWaitMs(service, request.priority, phase),
    );
  }

  private predictAloneMs(request: StageAdmissionRequest): number {
    return this.predictWithWaits(request, () => 0);
  }

  private predictWithWaits(
    request: StageAdmissionRequest,
    getWaitMs: FinishInput['getWaitMs'],
  ): number {
    const {fleet, times} = this.parts;
    const stagesMs = predictFinishMs({
      steps: request.steps,
      getCapacity: service => fleet.getCapacity(service),
      getPieceMs: ({stageKey}, {pieceMs}) =>
        times.getPieceMs(stageKey, pieceMs),
      getWaitMs,
    });
    return stagesMs + this.predictFirstMs(request);
  }

  // Computes how much longer a large prompt takes than a mean one. The extra time is left out
  // of the decision: under overload, requests with large prompts should be refused no more
  // often than others, and their stages are due earlier by the same amount and go first. With
  // the extra time included, the largest tenth of a class was refused 1.6 times as often as
  // the rest.
  private computeExtraMs(request: StageAdmissionRequest): number {
    const {route, requestMs} = request;
    const meanMs = this.firstEventTimes.predictMeanMs(route, requestMs);
    return Math.max(0, this.predictFirstMs(request) - meanMs);
  }

  private predictFirstMs({
    route,
    ownTokens,
    requestMs,
  }: StageAdmissionRequest): number {
    return this.firstEventTimes.predictMs(route, ownTokens, requestMs);
  }

  private admit(
    request: StageAdmissionRequest,
    predictedMs: number,
  ): StageAdmissionDecision {
    const {clock, fleet} = this.parts;
    const {requestId, priority} = request;
    this.recordEnded(requestId);
    this.admitted.set(requestId, request);
    request.steps.forEach((step, index) => {
      const {service, pieceCount} = step;
      const capacity = fleet.getCapacity(service);
      if (!capacity || pieceCount === 0) return;
      this.pendingWork.addStep(service, requestId, index, {
        ...this.computeWork(step, capacity),
        priority,
        phase: isReady(request, step) ? 'queued' : 'planned',
      });
    });
    this.timers.set(
      requestId,
      clock.schedule(request.remainingMs, () => this.recordEnded(requestId)),
    );
    const firstMs = this.predictFirstMs(request);
    return {isAdmitted: true, predictedMs, firstMs, retryAfterMs: 0};
  }

  private computeWork(step: StageStep, capacity: StageCapacity): WorkAhead {
    const {times} = this.parts;
    const {service, stageKey, pieceCount, resultBytes} = step;
    const pieceMs = times.getPieceMs(stageKey, capacity.pieceMs);
    const fillRatio = times.getFillRatio(service);
    return {
      workMs: computeWorkMs(capacity, pieceCount, pieceMs, fillRatio),
      resultBytes: pieceCount * resultBytes,
    };
  }

  // Upstreams and their result memory are separate resources; the scarcer one determines the
  // wait.
  private computeWaitMs(
    service: string,
    priority: number,
    phase: 'queued' | 'planned',
  ): number {
    const {workMs, resultBytes} = this.pendingWork.computeWorkAhead(
      service,
      priority,
      phase,
    );
    const callsMs = workMs / this.parts.fleet.countCallSlots(service);
    return Math.max(callsMs, this.computeMemoryWaitMs(service, resultBytes));
  }

  // Full memory is freed at a rate of its size divided by the retention time of results.
  private computeMemoryWaitMs(service: string, bytesAhead: number): number {
    const {fleet} = this.parts;
    const callMs = fleet.getCapacity(service)?.callMs ?? 0;
    const retentionMs = fleet.getRetentionMs(
      service,
      DEFAULT_RETENTION_CALLS * callMs,
    );
    const demandedBytes = bytesAhead + fleet.countStoredBytes(service);
    const memoryBytes = Math.max(1, fleet.countMemoryBytes(service));
    return retentionMs * Math.max(0, demandedBytes / memoryBytes - 1);
  }
}

function getWaitMs({waitMs = Infinity}: Unavailability): number {
  return waitMs;
}

// Whether waiting for others makes the request late. A request that is late by its own size
// alone would also be late on a retry, so a refusal would not help.
function isDelayedByOthers(
  {dueInMs}: StageAdmissionRequest,
  waitMs: number,
): boolean {
  return dueInMs <= 0 || waitMs > dueInMs * MIN_WAIT_SHARE;
}

function isReady({steps}: StageAdmissionRequest, step: StageStep): boolean {
  return step.after.every(source => steps[source].pieceCount === 0);
}

function createRefusal(
  {remainingMs}: StageAdmissionRequest,
  predictedMs: number,
  randomValue: number,
): StageAdmissionDecision {
  const {least, most} = RETRY_SHARES;
  const retryAfterMs = remainingMs * (least + randomValue * (most - least));
  return {isAdmitted: false, predictedMs, retryAfterMs};
}

function countLongestChain({steps}: StageAdmissionRequest): number {
  const lengths: number[] = [];
  const getLength = (index: number): number => {
    lengths[index] ??=
      (steps[index].pieceCount > 0 ? 1 : 0) +
      Math.max(0, ...steps[index].after.map(getLength));
    return lengths[index];
  };
  return Math.max(0, ...steps.map((_, index) => getLength(index)));
}
