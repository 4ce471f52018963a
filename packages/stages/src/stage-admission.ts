import type {Clock, Timer} from '@hollowstack/clock';
import type {StageCapacity} from '@hollowstack/routes';
import type {StageAdmissionRequest} from '@hollowstack/types';
import {WorkLedger, computeWorkMs, predictFinishMs} from './work-ledger.ts';

/** What admission works with. */
export interface StageAdmissionParts {
  readonly clock: Clock;
  readonly getCapacity: (service: string) => StageCapacity | undefined;
  /** Calls that the usable upstreams of a service work on at a time. */
  readonly countPlaces: (service: string) => number;
}

/** Whether a request may begin its stages. */
export interface StageAdmissionDecision {
  readonly isAdmitted: boolean;
  readonly predictedMs: number;
  /** Milliseconds after which to come back; set where it is not admitted. */
  readonly retryAfterMs: number;
}

/** Milliseconds that the request itself takes after its stages. */
const REQUEST_MS = 120;
/** Predictions are taken at their word only beyond this. */
const TOLERANCE = 1.1;
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

  constructor(parts: StageAdmissionParts) {
    this.parts = parts;
  }

  judge(request: StageAdmissionRequest): StageAdmissionDecision {
    const {getCapacity} = this.parts;
    const stagesMs = predictFinishMs({
      steps: request.steps,
      getCapacity,
      getWaitMs: service => this.computeWaitMs(service, request.priority),
    });
    const predictedMs = stagesMs + REQUEST_MS;
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

  private admit(request: StageAdmissionRequest): void {
    const {clock, getCapacity} = this.parts;
    const {requestId, priority} = request;
    this.recordEnded(requestId);
    this.admitted.set(requestId, request);
    request.steps.forEach(({service, pieceCount}, step) => {
      const capacity = getCapacity(service);
      if (!capacity || pieceCount === 0) return;
      const workMs = computeWorkMs(capacity, pieceCount);
      this.ledger.addStep(service, requestId, step, {workMs, priority});
    });
    this.timers.set(
      requestId,
      clock.schedule(request.remainingMs, () => this.recordEnded(requestId)),
    );
  }

  private computeWaitMs(service: string, priority: number): number {
    const places = Math.max(1, this.parts.countPlaces(service));
    return this.ledger.computePendingMs(service, priority) / places;
  }
}
