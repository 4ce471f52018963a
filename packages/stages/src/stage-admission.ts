import {DurationEstimator} from '@hollowstack/admission';
import type {Clock, Timer} from '@hollowstack/clock';
import type {StageCapacity} from '@hollowstack/routes';
import type {StageAdmissionRequest, StageStep} from '@hollowstack/types';
import type {ServiceTimes} from './service-times.ts';
import type {StageFleet} from './stage-fleet.ts';
import {
  WorkLedger,
  computeWorkMs,
  predictFinishMs,
  type WorkAhead,
} from './work-ledger.ts';

/** What admission asks of the upstreams of the stage services. */
export type AdmissionFleet = Pick<
  StageFleet,
  | 'getCapacity'
  | 'countPlaces'
  | 'countMemoryBytes'
  | 'countHeldBytes'
  | 'getHoldMs'
>;

/** Dependencies of StageAdmission. */
export interface StageAdmissionParts {
  readonly clock: Clock;
  readonly fleet: AdmissionFleet;
  /** What calls take, as learnt. */
  readonly times: ServiceTimes;
}

/** Whether a request may begin its stages. */
export interface StageAdmissionDecision {
  readonly isAdmitted: boolean;
  readonly predictedMs: number;
  /** Milliseconds after which to come back; set where it is not admitted. */
  readonly retryAfterMs: number;
}

/** Predictions are taken at their word only beyond this. */
const TOLERANCE = 1.1;
/** A result is held for about this many calls' fixed time, before it was learnt. */
const USUAL_HOLD_CALLS = 4;
/**
 * Milliseconds after which to come back, at least; about one call of a
 * stage.
 */
const MIN_RETRY_MS = 300;
/** Share of its time after which a request can still come back. */
const MAX_RETRY_SHARE = 0.3;

/**
 * Decides whether a request's stages can be done in time. One that cannot, and
 * has time to come back, is told so at once and when; one that has not goes on.
 */
export class StageAdmission {
  private readonly parts: StageAdmissionParts;
  private readonly ledger = new WorkLedger();
  private readonly timers = new Map<string, Timer>();
  private readonly admitted = new Map<string, StageAdmissionRequest>();
  /** Milliseconds from sending a request to its first bytes, by route. */
  private readonly firstTimes: DurationEstimator;

  constructor(parts: StageAdmissionParts) {
    this.parts = parts;
    this.firstTimes = new DurationEstimator(parts.clock);
  }

  judge(request: StageAdmissionRequest): StageAdmissionDecision {
    const {fleet, times} = this.parts;
    const stagesMs = predictFinishMs({
      steps: request.steps,
      getCapacity: service => fleet.getCapacity(service),
      getPieceMs: ({stageKey}, {pieceMs}) => times.getItemMs(stageKey, pieceMs),
      getWaitMs: service => this.computeWaitMs(service, request.priority),
    });
    const predictedMs = stagesMs + this.predictFirstMs(request);
    const isLate = predictedMs > request.dueInMs * TOLERANCE;
    if (isLate && request.mayComeBack) {
      const lateMs = predictedMs - request.dueInMs;
      const retryAfterMs = Math.min(
        Math.max(MIN_RETRY_MS, lateMs + MIN_RETRY_MS),
        request.remainingMs * MAX_RETRY_SHARE,
      );
      return {isAdmitted: false, predictedMs, retryAfterMs};
    }
    this.admit(request);
    return {isAdmitted: true, predictedMs, retryAfterMs: 0};
  }

  /**
   * Notes how long a request took to its first bytes once its stages were done.
   * All instances tell it here: one of 200 sees a route's request every second
   * or two, too few to learn from.
   */
  recordFirst(requestId: string, firstMs: number): void {
    const request = this.admitted.get(requestId);
    if (request) this.firstTimes.recordMs(request.route, firstMs);
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

  private predictFirstMs({route, requestMs}: StageAdmissionRequest): number {
    return this.firstTimes.getMeanMs(route, requestMs);
  }

  private admit(request: StageAdmissionRequest): void {
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
      });
    });
    this.timers.set(
      requestId,
      clock.schedule(request.remainingMs, () => this.recordEnded(requestId)),
    );
  }

  private computeWork(step: StageStep, capacity: StageCapacity): WorkAhead {
    const {times} = this.parts;
    const {service, stageKey, pieceCount, resultBytes} = step;
    const pieceMs = times.getItemMs(stageKey, capacity.pieceMs);
    const fill = times.getFill(service);
    return {
      workMs: computeWorkMs(capacity, pieceCount, pieceMs, fill),
      resultBytes: pieceCount * resultBytes,
    };
  }

  // Upstreams and their result memory are two resources; the scarcer one decides.
  private computeWaitMs(service: string, priority: number): number {
    const {workMs, resultBytes} = this.ledger.computeAhead(service, priority);
    const callsMs = workMs / Math.max(1, this.parts.fleet.countPlaces(service));
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
