/** Milliseconds of one message between two processes. */
export const LATENCY_MS = 2;

/** A connection that may fall silent for good, without a reset. */
export interface Connection {
  isSilent: boolean;
}
