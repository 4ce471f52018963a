import type {StageCapacity} from '@hollowstack/routes';
import type {StageStep} from '@hollowstack/types';

/**
 * Progress of a step, which is one stage of an admitted request: `planned` while its inputs are
 * not ready, `queued` while pieces wait for a call, `running` once all pieces are in flight.
 */
export type StepPhase = 'planned' | 'queued' | 'running';

/** Work that one step of an admitted request still needs from a service. */
export interface PendingWork {
  /** Milliseconds for which the step occupies one upstream. */
  readonly workMs: number;
  /** Bytes of all results of the step. */
  readonly resultBytes: number;
  readonly priority: number;
  readonly phase: StepPhase;
}

/** Work of a service that is scheduled before a request. */
export type WorkAhead = Pick<PendingWork, 'workMs' | 'resultBytes'>;

/** Mean share of a call in flight that is still to be done. */
const RUNNING_SHARE = 0.5;

/**
 * Computes how long a stage occupies one upstream, including its share of the fixed duration
 * of calls.
 *
 * @param fillRatio Mean ratio of pieces in a call to the batch size.
 */
export function computeWorkMs(
  capacity: StageCapacity,
  pieceCount: number,
  pieceMs: number,
  fillRatio: number,
): number {
  const callShareMs =
    capacity.callMs / Math.max(1, capacity.batchSize * fillRatio);
  return pieceCount * (pieceMs + callShareMs);
}

/** Input of predictFinishMs. */
export interface FinishInput {
  readonly steps: readonly StageStep[];
  readonly getCapacity: (service: string) => StageCapacity | undefined;
  /** Milliseconds that one piece of a step takes. */
  readonly getPieceMs: (step: StageStep, capacity: StageCapacity) => number;
  /**
   * Milliseconds until an upstream of the service is free for a step that starts now (`queued`)
   * or whose inputs are not ready (`planned`).
   */
  readonly getWaitMs: (service: string, phase: 'queued' | 'planned') => number;
}

/** Predicts the milliseconds until all steps of a request are done. */
export function predictFinishMs(input: FinishInput): number {
  const finishTimesMs: number[] = [];
  const getFinishMs = (index: number): number => {
    finishTimesMs[index] ??= computeFinishMs(index);
    return finishTimesMs[index];
  };
  const computeFinishMs = (index: number): number => {
    const step = input.steps[index];
    const readyMs = Math.max(0, ...step.after.map(getFinishMs));
    const capacity = input.getCapacity(step.service);
    if (step.pieceCount === 0 || !capacity) return readyMs;
    const phase = readyMs > 0 ? 'planned' : 'queued';
    const startMs = Math.max(readyMs, input.getWaitMs(step.service, phase));
    const pieceMs = input.getPieceMs(step, capacity);
    return startMs + capacity.callMs + pieceMs * step.pieceCount;
  };
  return Math.max(0, ...input.steps.map((_, index) => getFinishMs(index)));
}

/** The work that admitted requests still need from each service. */
export class PendingWorkTable {
  /** Work by service, then by request and step. */
  private readonly pending = new Map<string, Map<string, PendingWork>>();

  /** Adds the work of one step of a request. */
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

  /** Sets the phase of a step; unknown steps are ignored. */
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

  /** Removes a step that is done or cancelled. */
  removeStep(service: string, requestId: string, step: number): void {
    this.pending.get(service)?.delete(`${requestId}/${step}`);
  }

  /**
   * Sums the work of a service that is scheduled before a step of the given priority. Planned
   * steps count before a planned step, but not before one that starts now: otherwise a request
   * appears to wait for work that comes long after its own, and is refused although capacity
   * is sufficient.
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
