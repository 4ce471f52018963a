import type {Clock} from '@hollowstack/clock';

/** Dependencies of AdmissionThrottle. */
export interface AdmissionThrottleParts {
  readonly clock: Clock;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
}

interface Outcome {
  readonly atMs: number;
  readonly isAnswered: boolean;
}

/** Milliseconds for which an outcome counts. */
const WINDOW_MS = 3000;
/** Number of requests to a coordinator for each one that it answers in time. */
const REQUESTS_PER_ANSWER = 2;
/** Requests that are sent in any case within a window, so that a recovery is noticed. */
const MIN_REQUESTS = 3;

/**
 * Limits the admission requests that an instance sends to a busy coordinator by the share that
 * the coordinator answers in time. Requests that are not sent count as well, so that the rate
 * follows what the coordinator can answer, however many requests arrive.
 */
export class AdmissionThrottle {
  private readonly parts: AdmissionThrottleParts;
  private readonly outcomes = new Map<string, Outcome[]>();

  constructor(parts: AdmissionThrottleParts) {
    this.parts = parts;
  }

  /** Returns whether a request may be sent to a coordinator; one that may not counts as unanswered. */
  maySend(coordinatorId: string): boolean {
    const outcomes = this.listOutcomes(coordinatorId);
    const answeredCount = outcomes.filter(each => each.isAnswered).length;
    const allowedCount = Math.max(
      MIN_REQUESTS,
      REQUESTS_PER_ANSWER * answeredCount,
    );
    const excessShare = 1 - allowedCount / (outcomes.length + 1);
    const isSent = this.parts.random() >= excessShare;
    if (!isSent) this.recordOutcome(coordinatorId, false);
    return isSent;
  }

  /** Records whether a coordinator has answered a request in time. */
  recordOutcome(coordinatorId: string, isAnswered: boolean): void {
    const outcomes = this.listOutcomes(coordinatorId);
    outcomes.push({atMs: this.parts.clock.getNow(), isAnswered});
    this.outcomes.set(coordinatorId, outcomes);
  }

  private listOutcomes(coordinatorId: string): Outcome[] {
    const outcomes = this.outcomes.get(coordinatorId) ?? [];
    const sinceMs = this.parts.clock.getNow() - WINDOW_MS;
    while (outcomes.length > 0 && outcomes[0].atMs < sinceMs) outcomes.shift();
    if (outcomes.length === 0) this.outcomes.delete(coordinatorId);
    return outcomes;
  }
}
