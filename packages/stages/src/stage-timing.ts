/** How far one stage of a request is, for the timing of the others. */
export interface StageProgress {
  /** Indexes of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Milliseconds that the stage still needs; 0 once it is done or left out. */
  readonly remainingMs: number;
}

/**
 * Computes how much later than now a stage could start without delaying the
 * request: the slack of critical-path scheduling.
 *
 * @param stages All stages of the request, in the order of its route.
 * @param index The stage in question; the stages before it are done.
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

/** Computes milliseconds until a stage is done, the stages before it included. */
function computeFinishMs(
  stages: readonly StageProgress[],
  index: number,
): number {
  const {after, remainingMs} = stages[index];
  const sources = after.map(source => computeFinishMs(stages, source));
  return Math.max(0, ...sources) + remainingMs;
}

/** Computes milliseconds from the start of a stage to the end of its last reader. */
function computePathMs(
  stages: readonly StageProgress[],
  index: number,
): number {
  const readers = stages.flatMap(({after}, reader) =>
    after.includes(index) ? [computePathMs(stages, reader)] : [],
  );
  return stages[index].remainingMs + Math.max(0, ...readers);
}
