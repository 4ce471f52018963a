import type {StageCapacity} from '@hollowstack/routes';
import type {StageStep} from '@hollowstack/types';

/** What one step of an admitted request still takes of a service. */
export interface PendingWork {
  /** Milliseconds of one upstream. */
  readonly workMs: number;
  /** Bytes that its results take. */
  readonly resultBytes: number;
  readonly priority: number;
}

/** Work of a service that goes before a request. */
export type WorkAhead = Omit<PendingWork, 'priority'>;

/**
 * Computes how long a stage keeps one upstream busy, its part of the calls'
 * fixed time counted.
 *
 * @param fill Share of a batch that calls are filled to.
 */
export function computeWorkMs(
  capacity: StageCapacity,
  pieceCount: number,
  pieceMs: number,
  fill: number,
): number {
  const callShareMs = capacity.callMs / Math.max(1, capacity.batchSize * fill);
  return pieceCount * (pieceMs + callShareMs);
}

/** What a prediction is made from. */
export interface FinishInput {
  readonly steps: readonly StageStep[];
  readonly getCapacity: (service: string) => StageCapacity | undefined;
  /** Milliseconds that one piece of a step takes. */
  readonly getPieceMs: (step: StageStep, capacity: StageCapacity) => number;
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
    const pieceMs = input.getPieceMs(step, capacity);
    return startMs + capacity.callMs + pieceMs * step.pieceCount;
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
  computeAhead(service: string, priority: number): WorkAhead {
    let workMs = 0;
    let resultBytes = 0;
    for (const work of this.pending.get(service)?.values() ?? []) {
      if (work.priority > priority) continue;
      workMs += work.workMs;
      resultBytes += work.resultBytes;
    }
    return {workMs, resultBytes};
  }
}
