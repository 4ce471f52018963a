/**
 * Spaces sends to one upstream evenly, so that no second exceeds the given rate.
 * Used while an upstream is cold: a freshly started one collapses if it gets
 * much more than it can serve in a second.
 */
export class SendPacer {
  private nextAtMs: number;

  /** @param startAtMs Time of the first permitted send. */
  constructor(startAtMs: number) {
    this.nextAtMs = startAtMs;
  }

  /** Returns whether a send is permitted now. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.nextAtMs;
  }

  /** Records a send and schedules the next one by the rate `perSecond`. */
  recordSend(nowMs: number, perSecond: number): void {
    this.nextAtMs = Math.max(nowMs, this.nextAtMs) + 1000 / perSecond;
  }
}
