/** Progress of one stage of a request, from which the slack of the others is computed. */
export interface StageProgress {
  /** Indexes of the stages whose results this stage reads. */
  readonly after: readonly number[];
  /** Milliseconds that the stage still needs; 0 if it is done or skipped. */
  readonly remainingMs: number;
}

/**
 * Computes how long the start of a stage can be put off without delaying the request: the
 * slack of critical-path scheduling.
 *
 * @param stages All stages of the request, in the order of its route.
 * @param index The stage to start; the stages that it reads are done.
 * @returns Milliseconds; 0 for a stage on the critical path.
 */
export function computeSlackMs(
  stages: readonly StageProgress[],
  index: number,
): number {
  const criticalMs = Math.max(
    ...stages.map((_, stage) => computeFinishMs(stages, stage)),
  );
  return criticalMs - computePathMs(stages, index);
}

/** Computes milliseconds until a stage is done, including the stages that it reads. */
function computeFinishMs(
  stages: readonly StageProgress[],
  index: number,
): number {
  const {after, remainingMs} = stages[index];
  const sources = after.map(source => computeFinishMs(stages, source));
  return Math.max(0, ...sources) + remainingMs;
}

/**
 * Computes milliseconds from the start of a stage to the end of its last direct or indirect
 * reader.
 */
function computePathMs(
  stages: readonly StageProgress[],
  index: number,
): number {
  const readers = stages.flatMap(({after}, reader) =>
    after.includes(index) ? [computePathMs(stages, reader)] : [],
  );
  return stages[index].remainingMs + Math.max(0, ...readers);
}
