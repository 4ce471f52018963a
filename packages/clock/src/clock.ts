/** A scheduled callback that can be cancelled. */
export interface Timer {
  /** Cancels the callback; does nothing once it has run. */
  cancel(): void;
}

/** Source of time and of delayed callbacks; injected wherever time matters. */
export interface Clock {
  /** Returns milliseconds since the Unix epoch. */
  getNow(): number;
  /**
   * Runs a callback once.
   *
   * @param delayMs Milliseconds from now; below zero counts as zero.
   */
  schedule(delayMs: number, callback: () => void): Timer;
}
