import type {StageCapacity} from '@hollowstack/routes';
import type {StageStep} from '@hollowstack/types';

/**
 * How far a step of an admitted request is: its inputs are still being made, its items
 * wait for a call, or all of them are in calls.
 */
export type StepPhase = 'planned' | 'queued' | 'running';

/** What one step of an admitted request still takes of a service. */
export interface PendingWork {
  /** Milliseconds of one upstream. */
  readonly workMs: number;
  /** Bytes that its results take. */
  readonly resultBytes: number;
  readonly priority: number;
  readonly phase: StepPhase;
}

/** Work of a service that goes before a request. */
export type WorkAhead = Pick<PendingWork, 'workMs' | 'resultBytes'>;

/** The part of a call in progress that is still to be done, on average. */
const RUNNING_SHARE = 0.5;

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
  /**
   * Milliseconds before an upstream of the service is free for a step that begins now,
   * or for one whose inputs are still to be made.
   */
  readonly getWaitMs: (service: string, phase: 'queued' | 'planned') => number;
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
    const phase = readyMs > 0 ? 'planned' : 'queued';
    const startMs = Math.max(readyMs, input.getWaitMs(step.service, phase));
    const pieceMs = input.getPieceMs(step, capacity);
    return startMs + capacity.callMs + pieceMs * step.pieceCount;
  };
  return Math.max(0, ...input.steps.map((_, index) => readStep(index)));
}

/** The work that admitted requests still bring to each service. */
export class PendingWorkTable {
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

  /** Notes how far a step is; one that is not known is passed over. */
  setPhase(
    service: string,
    requestId: string,
    step: number,
    phase: StepPhase,
  ): void {
    const steps = this.pending.get(service);
    const work = steps?.get(`${requestId}/${step}`);
    if (work) steps!.set(`${requestId}/${step}`, {...work, phase});
  }

  /** Notes that a step is done or will never be. */
  removeStep(service: string, requestId: string, step: number): void {
    this.pending.get(service)?.delete(`${requestId}/${step}`);
  }

  /**
   * Sums the work of a service that goes before a step of a priority. Steps whose inputs
   * are still being made go before a planned step, not before one that begins now: counted
   * for both, a request waits for work that comes long after its own, and 8 of 100 were
   * refused on a day when nothing was short.
   */
  computeWorkAhead(
    service: string,
    priority: number,
    phase: 'queued' | 'planned',
  ): WorkAhead {
    let workMs = 0;
    let resultBytes = 0;
    for (const work of this.pending.get(service)?.values() ?? []) {
      if (work.priority > priority) continue;
      if (work.phase === 'planned' && phase === 'queued') continue;
      const share = work.phase === 'running' ? RUNNING_SHARE : 1;
      workMs += work.workMs * share;
      resultBytes += work.resultBytes;
    }
    return {workMs, resultBytes};
  }
}
