/** Remembers which software version began a resumable stream, across instances. */
export {OriginTable} from './origin-table.ts';
export {VersionHistory} from './version-history.ts';
export {
  judgeResumption,
  type ResumptionInput,
  type ResumptionVerdict,
} from './resumption-verdict.ts';
export {computeStreamKey, type StreamIdentity} from './stream-key.ts';
export {
  StreamOrigins,
  type ResumedStream,
  type StreamOriginsParts,
} from './stream-origins.ts';
export {STREAM_RETENTION_MS} from './stream-retention.ts';
