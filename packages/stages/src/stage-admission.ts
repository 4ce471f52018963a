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

/** What admission asks of the upstreams of the stage services. */
export type AdmissionFleet = Pick<
  StageFleet,
  | 'getCapacity'
  | 'countPlaces'
  | 'countMemoryBytes'
  | 'countHeldBytes'
  | 'getHoldMs'
  | 'findShortage'
>;

/** Dependencies of StageAdmission. */
export interface StageAdmissionParts {
  readonly clock: Clock;
  readonly fleet: AdmissionFleet;
  /** What calls take, as learnt. */
  readonly times: ServiceTimes;
  /** Draws from 0 to below 1; spreads the returns of those that are refused. */
  readonly random: () => number;
}

/** Whether a request may begin its stages. */
export interface StageAdmissionDecision {
  readonly isAdmitted: boolean;
  readonly predictedMs: number;
  /**
   * Milliseconds that the request takes to its first bytes once its stages are done, as
   * all instances have seen; undefined where that is not known.
   */
  readonly firstMs?: number;
  /** Milliseconds after which to come back; set where it is not admitted. */
  readonly retryAfterMs: number;
  /** Why it is not admitted, where that is another reason than time. */
  readonly reason?: string;
}

/** What is added to the priority of requests that can no longer be in time. */
const LATE_STEP = 1000;
/**
 * Share of the time left in which a late request must be predicted to begin its
 * answer: requests in time that are still to come go before it, and callers
 * leave a silent stream before their time is over. Without any bound
 * late requests were held to their end in overload: 0.543 of worth for 0.580 with
 * it (mean of five played days, one score each).
 */
const LATE_SHARE = 0.4;
/**
 * Factor of the waits in a prediction, since they are what it is wrong about: half of the
 * requests wait longer. A chain of stages that works for 0.55 of its time is let in up to
 * a prediction of 0.9 of it, one with a large prompt that works for 0.85 up to 0.97: a
 * refusal would cost it its only chance, since what it loses by coming back it no longer
 * has.
 */
const WAIT_MARGIN = 1.3;
/**
 * Share of the time left that waiting for others must take before a request is refused
 * for it; below that another moment is no better.
 */
const MIN_HOLDUP_SHARE = 0.1;
/** A result is held for about this many calls' fixed time, before it was learnt. */
const USUAL_HOLD_CALLS = 4;
/**
 * Shares of its time left after which a refused request comes back, drawn evenly between
 * them. Callers heed a third of it. Waits that are too long now stay so for as long as
 * more comes than can be done, which is seconds; a caller that comes back sooner is refused
 * again, and one that is let in then is late and takes the room of another that would
 * not be. With 0.4 s and more for all, a kind of request that is refused in bursts
 * was refused for good 261 times of 3,040, with these shares 57 to 84 times (five runs).
 */
const RETRY_SHARES = {least: 0.2, most: 0.3} as const;

/**
 * Decides whether a request's stages can be done in time. One that cannot, and
 * has time to come back, is told so at once and when; one that has not goes on.
 */
export class StageAdmission {
  private readonly parts: StageAdmissionParts;
  private readonly ledger = new PendingWorkTable();
  private readonly timers = new Map<string, Timer>();
  private readonly admitted = new Map<string, StageAdmissionRequest>();
  private readonly firstTimes: FirstEventTimes;

  constructor(parts: StageAdmissionParts) {
    this.parts = parts;
    this.firstTimes = new FirstEventTimes(parts.clock);
  }

  judge(request: StageAdmissionRequest): StageAdmissionDecision {
    const aloneMs = this.predictAloneMs(request);
    const shortage = this.findShortage(request);
    const shortageMs = shortage ? getWaitMs(shortage) : 0;
    const predictedMs = this.predictMs(request) + shortageMs;
    const waitMs = predictedMs - aloneMs;
    const ownMs = aloneMs - this.computeExtraMs(request);
    const isInTime = ownMs + waitMs * WAIT_MARGIN <= request.dueInMs;
    if (shortage && !isInTime) {
      const {reason, retryAfterMs} = shortage;
      return {isAdmitted: false, predictedMs: 0, retryAfterMs, reason};
    }
    if (isInTime || !isHeldUp(request, waitMs)) {
      return this.admit(request, predictedMs);
    }
    if (request.mayComeBack && request.dueInMs > 0) {
      return createRefusal(request, predictedMs, this.parts.random());
    }
    // Late in any case: it goes behind those that can be in time, if that
    // leaves it the time to be served at all.
    const behind = {...request, priority: request.priority + LATE_STEP};
    const behindMs = this.predictMs(behind);
    if (behindMs > request.remainingMs * LATE_SHARE) {
      return createRefusal(request, behindMs, this.parts.random());
    }
    return this.admit(behind, behindMs);
  }

  /**
   * Notes how long a request took to its first bytes once its stages were done.
   * All instances tell it here: one of 200 sees a route's request every second
   * or two, too few to learn from.
   */
  recordFirstEvent(requestId: string, firstMs: number): void {
    const request = this.admitted.get(requestId);
    if (!request) return;
    this.firstTimes.recordFirstEvent(request.route, request.ownTokens, firstMs);
  }

  /** Notes that a step of a request waits for calls, or that all of it is in calls. */
  recordPhase(
    service: string,
    requestId: string,
    step: number,
    phase: 'queued' | 'running',
  ): void {
    this.ledger.setPhase(service, requestId, step, phase);
  }

  /** Notes that a step of a request is done. */
  recordDone(service: string, requestId: string, step: number): void {
    this.ledger.removeStep(service, requestId, step);
  }

  /** Notes that nothing more is to be done for a request. */
  recordEnded(requestId: string): void {
    const request = this.admitted.get(requestId);
    this.admitted.delete(requestId);
    this.timers.get(requestId)?.cancel();
    this.timers.delete(requestId);
    request?.steps.forEach(({service}, step) =>
      this.ledger.removeStep(service, requestId, step),
    );
  }

  stop(): void {
    for (const id of [...this.admitted.keys()]) this.recordEnded(id);
  }

  // The one that lasts longest; one without a known end before all others.
  private findShortage({
    steps,
  }: StageAdmissionRequest): Unavailability | undefined {
    const needed = steps.filter(({pieceCount}) => pieceCount > 0);
    return needed
      .map(({service}) => this.parts.fleet.findShortage(service))
      .filter(shortage => shortage !== undefined)
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
      getPieceMs: ({stageKey}, {pieceMs}) => times.getItemMs(stageKey, pieceMs),
      getWaitMs,
    });
    return stagesMs + this.predictFirstMs(request);
  }

  // What a large prompt takes beyond a usual one. Where requests are refused for want of
  // room, those with large prompts are refused no more often than others: their stages
  // are due so much earlier, and go first. Counted here as well, the largest tenth of a
  // kind was refused 1.6 times as often as the rest.
  private computeExtraMs(request: StageAdmissionRequest): number {
    const {route, requestMs} = request;
    const usualMs = this.firstTimes.predictMeanMs(route, requestMs);
    return Math.max(0, this.predictFirstMs(request) - usualMs);
  }

  private predictFirstMs({
    route,
    ownTokens,
    requestMs,
  }: StageAdmissionRequest): number {
    return this.firstTimes.predictMs(route, ownTokens, requestMs);
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
      this.ledger.addStep(service, requestId, index, {
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
    const pieceMs = times.getItemMs(stageKey, capacity.pieceMs);
    const fill = times.getFillRatio(service);
    return {
      workMs: computeWorkMs(capacity, pieceCount, pieceMs, fill),
      resultBytes: pieceCount * resultBytes,
    };
  }

  // Upstreams and their result memory are two resources; the scarcer one decides.
  private computeWaitMs(
    service: string,
    priority: number,
    phase: 'queued' | 'planned',
  ): number {
    const {workMs, resultBytes} = this.ledger.computeWorkAhead(
      service,
      priority,
      phase,
    );
    const callsMs = workMs / this.parts.fleet.countPlaces(service);
    return Math.max(callsMs, this.computeMemoryWaitMs(service, resultBytes));
  }

  // Memory that is full frees at the rate of its size over the time that
  // results are held.
  private computeMemoryWaitMs(service: string, bytesAhead: number): number {
    const {fleet} = this.parts;
    const callMs = fleet.getCapacity(service)?.callMs ?? 0;
    const holdMs = fleet.getHoldMs(service, USUAL_HOLD_CALLS * callMs);
    const wantedBytes = bytesAhead + fleet.countHeldBytes(service);
    const memoryBytes = Math.max(1, fleet.countMemoryBytes(service));
    return holdMs * Math.max(0, wantedBytes / memoryBytes - 1);
  }
}

function getWaitMs({waitMs = Infinity}: Unavailability): number {
  return waitMs;
}

// A request that is late by its own size alone would be so later as well: refusing it
// serves nobody.
function isHeldUp({dueInMs}: StageAdmissionRequest, waitMs: number): boolean {
  return dueInMs <= 0 || waitMs > dueInMs * MIN_HOLDUP_SHARE;
}

function isReady({steps}: StageAdmissionRequest, step: StageStep): boolean {
  return step.after.every(source => steps[source].pieceCount === 0);
}

function createRefusal(
  {remainingMs}: StageAdmissionRequest,
  predictedMs: number,
  draw: number,
): StageAdmissionDecision {
  const {least, most} = RETRY_SHARES;
  const retryAfterMs = remainingMs * (least + draw * (most - least));
  return {isAdmitted: false, predictedMs, retryAfterMs};
}
