import {
  CacheIndex,
  createHealthyState,
  createLoadState,
  type HealthState,
  type LoadState,
} from '@hollowstack/routing';
import type {LoadReport, Upstream} from '@hollowstack/types';

/** A load report with the time it arrived and a comparison with the previous one. */
export interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
  /** Whether the upstream completed work since the previous report. */
  readonly isProgressing: boolean;
}

/** State that this instance tracks for one upstream. */
export interface TrackedUpstream {
  upstream: Upstream;
  health: HealthState;
  load: LoadState;
  models: readonly string[] | undefined;
  /** Newest report; undefined before the first one. */
  report: ReceivedReport | undefined;
  /**
   * Time at which any attempt of this instance last received a byte from it, in
   * milliseconds since the epoch; 0 before the first byte.
   */
  lastByteAtMs: number;
  /** Whether the platform's instance list reports it as leaving. */
  isListedLeaving: boolean;
  readonly cache: CacheIndex;
}

/** Creates the initial state of an upstream: healthy and without load. */
export function createTrackedUpstream(upstream: Upstream): TrackedUpstream {
  return {
    upstream,
    health: createHealthyState(),
    load: createLoadState(),
    models: undefined,
    report: undefined,
    lastByteAtMs: 0,
    isListedLeaving: false,
    cache: new CacheIndex(),
  };
}

/** Returns whether an upstream has a model loaded; true if none is required or its models are unknown. */
export function hasModel(
  models: readonly string[] | undefined,
  model: string | undefined,
): boolean {
  return model === undefined || models === undefined || models.includes(model);
}

/** Returns whether work was completed between two reports; false if either does not count it. */
export function hasProgressed(
  before: LoadReport | undefined,
  current: LoadReport,
): boolean {
  if (before?.workDone === undefined || current.workDone === undefined)
    return false;
  // The same report may be read twice if reports lag; it shows no progress of
  // its own, so a running request counts as progress.
  if (before.atMs === current.atMs) return current.running > 0;
  return current.workDone > before.workDone;
}
