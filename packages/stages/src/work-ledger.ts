import type {StageCapacity} from '@hollowstack/routes';
import type {StageStep} from '@hollowstack/types';

interface PendingWork {
  readonly workMs: number;
  readonly priority: number;
}

/** Part of a batch that calls are filled to under load. */
const USUAL_FILL = 0.8;

/** Computes how long a stage keeps one upstream busy, its part of full calls counted. */
export function computeWorkMs(
  capacity: StageCapacity,
  pieceCount: number,
): number {
  const callShareMs = capacity.callMs / (capacity.batchSize * USUAL_FILL);
  return pieceCount * (capacity.pieceMs + callShareMs);
}

/** What a prediction is made from. */
export interface FinishInput {
  readonly steps: readonly StageStep[];
  readonly getCapacity: (service: string) => StageCapacity | undefined;
  /** Milliseconds before an upstream of the service is free for this request. */
  readonly getWaitMs: (service: string) => number;
}

/** Predicts milliseconds until all steps of a request are done. */
export function predictFinishMs(input: FinishInput): number {
  const finishes: number[] = [];
  const readStep = (index: number): number => {
    finishes[index] ??= computeStep(index);
    return finishes[index];
  };
  const computeStep = (index: number): number => {
    const step = input.steps[index];
    const readyMs = Math.max(0, ...step.after.map(readStep));
    const capacity = input.getCapacity(step.service);
    if (step.pieceCount === 0 || !capacity) return readyMs;
    const startMs = Math.max(readyMs, input.getWaitMs(step.service));
    return startMs + capacity.callMs + capacity.pieceMs * step.pieceCount;
  };
  return Math.max(0, ...input.steps.map((_, index) => readStep(index)));
}

/** The work that admitted requests still bring to each service. */
export class WorkLedger {
  /** Work by service, then by request and step. */
  private readonly pending = new Map<string, Map<string, PendingWork>>();

  /** Notes the work of one step of a request. */
  addStep(
    service: string,
    requestId: string,
    step: number,
    work: PendingWork,
  ): void {
    let steps = this.pending.get(service);
    if (!steps) {
      steps = new Map();
      this.pending.set(service, steps);
    }
    steps.set(`${requestId}/${step}`, work);
  }

  /** Notes that a step is done or will never be. */
  removeStep(service: string, requestId: string, step: number): void {
    this.pending.get(service)?.delete(`${requestId}/${step}`);
  }

  /** Sums the work of a service that goes before a request of a priority. */
  computePendingMs(service: string, priority: number): number {
    let sum = 0;
    for (const work of this.pending.get(service)?.values() ?? []) {
      if (work.priority <= priority) sum += work.workMs;
    }
    return sum;
  }
}
