import type {ObservedVersions, StreamOrigin} from '@hollowstack/types';
import {STREAM_RETENTION_MS} from './stream-retention.ts';

/** What is known about a stream that a caller resumes. */
export interface ResumptionInput {
  readonly service: string;
  readonly origin: StreamOrigin | undefined;
  /** What this instance and the peers that replied have observed of the service. */
  readonly observed: readonly ObservedVersions[];
  /** Whether this instance knows all registered upstreams. */
  readonly isViewFresh: boolean;
}

/** Whether a stream goes on, and at which software version. */
export type ResumptionVerdict =
  | {readonly type: 'continued'; readonly version: string}
  | {readonly type: 'rejected'; readonly reason: string};

/**
 * Judges at which software version a stream goes on. A stream of unknown origin goes on only
 * if the service has had a single version for as long as the stream can be old.
 */
export function judgeResumption({
  service,
  origin,
  observed,
  isViewFresh,
}: ResumptionInput): ResumptionVerdict {
  if (origin) {
    if (origin.service === service) {
      return {type: 'continued', version: origin.version};
    }
    const reason = `the stream began at ${origin.service}, and its route now leads to ${service}`;
    return {type: 'rejected', reason};
  }
  const versions = [...new Set(observed.flatMap(each => each.versions))];
  if (versions.length > 1) {
    return {
      type: 'rejected',
      reason: `nobody knows which of ${versions.length} software versions of ${service} began the stream`,
    };
  }
  const observedMs = Math.max(...observed.map(each => each.observedMs));
  const isHistoryKnown = isViewFresh && observedMs >= STREAM_RETENTION_MS;
  if (versions.length === 1 && isHistoryKnown) {
    return {type: 'continued', version: versions[0]};
  }
  return {
    type: 'rejected',
    reason: `the software versions of ${service} are not known for long enough to continue the stream`,
  };
}
