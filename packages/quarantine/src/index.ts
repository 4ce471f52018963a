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
export {
  SuspectPartTable,
  computeVerdictKey,
  type HeldParts,
  type SuspectPartTableParts,
} from './suspect-part-table.ts';
export {PartTrials, type PartTrialsParts} from './part-trials.ts';
export {
  StoredPartVerdicts,
  StoredRequestVerdicts,
  StoredVerdicts,
} from './stored-verdicts.ts';
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
