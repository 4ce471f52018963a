/** Milliseconds for which a stream can be resumed after its last first event. */
export const STREAM_RETENTION_MS = 30_000;
