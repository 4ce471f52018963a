/** One-way latency of a message between two processes. */
export const LATENCY_MS = 2;

/** A connection that may become unresponsive for good, without a reset. */
export interface Connection {
  isSilent: boolean;
}
