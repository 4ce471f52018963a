/**
 * Spaces what is sent to one upstream evenly, so that no second gets more than
 * its rate. Used while an upstream is cold: one that has just started collapses
 * well above what it bears in a second.
 */
export class SendPacer {
  private nextAtMs: number;

  /** @param startAtMs When the first piece of work may be sent. */
  constructor(startAtMs: number) {
    this.nextAtMs = startAtMs;
  }

  /** Returns whether something may be sent now. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.nextAtMs;
  }

  /** Notes that something was sent. */
  recordSend(nowMs: number, perSecond: number): void {
    this.nextAtMs = Math.max(nowMs, this.nextAtMs) + 1000 / perSecond;
  }
}
