/** Detects requests that crash upstreams, across all instances, and refuses them. */
export {computeFingerprint, type RequestContent} from './fingerprint.ts';
export {
  SuspectTable,
  type SuspectRequest,
  type SuspectTableParts,
} from './suspect-table.ts';
export type {Suspect, UpstreamCrash} from './suspect.ts';
export {
  CrashDetector,
  type BrokenAttempt,
  type CrashDetectorParts,
} from './crash-detector.ts';
export {IsolatedAttempts} from './isolation.ts';
export {
  VerdictPersister,
  type VerdictPersisterParts,
} from './verdict-persister.ts';
export {
  RequestQuarantine,
  type QuarantineSubject,
  type RequestQuarantineParts,
} from './request-quarantine.ts';
