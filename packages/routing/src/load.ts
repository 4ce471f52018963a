import type {LoadReport} from '@hollowstack/types';

/** What is known of one upstream's load; a plain value that transitions replace. */
export interface LoadState {
  /** This instance's own requests in progress there. */
  readonly ownInFlight: number;
  /** Requests of other instances, as of the last report. */
  readonly othersAtReport: number;
  /** Milliseconds since the epoch at which the last report was true; 0 for none. */
  readonly reportAtMs: number;
  /** Milliseconds that one unit of work takes there without other load; 0 for unknown. */
  readonly unitMs: number;
  /** How many durations went into `unitMs`, up to a ceiling. */
  readonly samples: number;
}

// A report loses its weight over this time: what others had in progress then
// has been answered since, and what they have now is better guessed as average.
const REPORT_HALF_LIFE_MS = 3000;
const MAX_SAMPLES = 10;

/** Returns the state of an upstream that nothing is known about. */
export function createLoadState(): LoadState {
  return {
    ownInFlight: 0,
    othersAtReport: 0,
    reportAtMs: 0,
    unitMs: 0,
    samples: 0,
  };
}

/** A request of this instance was sent. */
export function recordDispatch(load: LoadState): LoadState {
  return {...load, ownInFlight: load.ownInFlight + 1};
}

/** A request of this instance has ended, in whatever way. */
export function recordEnd(load: LoadState): LoadState {
  return {...load, ownInFlight: Math.max(0, load.ownInFlight - 1)};
}

/** A load report arrived. */
export function recordReport(
  load: LoadState,
  report: LoadReport,
  nowMs: number,
): LoadState {
  const total = report.running + report.queued;
  return {
    ...load,
    othersAtReport: Math.max(0, total - load.ownInFlight),
    reportAtMs: report.atMs ?? nowMs,
  };
}

/**
 * A piece of work was finished.
 *
 * @param durationMs What it took.
 * @param work Its size in units.
 * @param loadAtDispatch Other requests there when it was sent, per slot.
 */
export function recordDuration(
  load: LoadState,
  durationMs: number,
  work: number,
  loadAtDispatch: number,
): LoadState {
  const unitMs = durationMs / (work * (1 + loadAtDispatch));
  const samples = Math.min(MAX_SAMPLES, load.samples + 1);
  const weight = 1 / samples;
  return {
    ...load,
    samples,
    unitMs: load.unitMs + (unitMs - load.unitMs) * weight,
  };
}

/** Estimates the requests of other instances there now. */
export function predictOtherLoad(load: LoadState, nowMs: number): number {
  if (load.reportAtMs === 0) return 0;
  const ageMs = Math.max(0, nowMs - load.reportAtMs);
  return load.othersAtReport * 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
}

/**
 * Predicts how long a piece of work takes there.
 *
 * @param work Its size in units.
 * @param slots Requests that the upstream works on at the same time.
 * @param defaultUnitMs Milliseconds a unit takes where nothing was measured yet.
 */
export function predictDurationMs(
  load: LoadState,
  work: number,
  slots: number,
  defaultUnitMs: number,
  nowMs: number,
): number {
  const unitMs = load.samples === 0 ? defaultUnitMs : load.unitMs;
  const others = load.ownInFlight + predictOtherLoad(load, nowMs);
  return unitMs * work * (1 + others / slots);
}
