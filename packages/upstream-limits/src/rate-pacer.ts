/** Maximum delay of a send that later sends may catch up on, in milliseconds. */
const MAX_CREDIT_MS = 200;

/** Spaces sends evenly at a rate that may change. */
export class RatePacer {
  private lastSendAtMs: number;

  /** @param lastSendAtMs Time of the previous send, or the time to assume if there is none. */
  constructor(lastSendAtMs: number) {
    this.lastSendAtMs = lastSendAtMs;
  }

  /** Returns when the next send is due at a rate, in milliseconds. */
  getNextSendAtMs(perSecond: number): number {
    return this.lastSendAtMs + 1000 / perSecond;
  }

  /** Records a send; a short delay does not postpone the sends that follow. */
  recordSend(nowMs: number, perSecond: number): void {
    const intervalMs = 1000 / perSecond;
    const creditMs = Math.min(intervalMs, MAX_CREDIT_MS);
    this.lastSendAtMs = Math.max(
      this.lastSendAtMs + intervalMs,
      nowMs - creditMs,
    );
  }
}
