import {
  CacheIndex,
  createHealthyState,
  createLoadState,
  type HealthState,
  type LoadState,
} from '@hollowstack/routing';
import type {LoadReport, Upstream} from '@hollowstack/types';

/** A load report with what it says beside the one before it. */
export interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
  /** Whether work was done since the report before it. */
  readonly isProgressing: boolean;
}

/** All that this instance knows of one upstream. */
export interface TrackedUpstream {
  upstream: Upstream;
  health: HealthState;
  load: LoadState;
  models: readonly string[] | undefined;
  /** The newest report with the time it came; undefined before the first. */
  report: ReceivedReport | undefined;
  /** When any of this instance's attempts last got a byte from it. */
  lastByteAtMs: number;
  /** Whether the platform's list says that it is leaving. */
  isListedLeaving: boolean;
  readonly cache: CacheIndex;
}

/** Creates what is known of an upstream that was never met. */
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

/** Returns whether an upstream holds a model, as far as is known. */
export function hasModel(
  models: readonly string[] | undefined,
  model: string | undefined,
): boolean {
  return model === undefined || models === undefined || models.includes(model);
}

/** Returns whether work was done between two reports. */
export function hasProgressed(
  before: LoadReport | undefined,
  current: LoadReport,
): boolean {
  if (before?.workDone === undefined || current.workDone === undefined)
    return false;
  // A report that lags may be the same one again; it says nothing new.
  if (before.atMs === current.atMs) return current.running > 0;
  return current.workDone > before.workDone;
}
