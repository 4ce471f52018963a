/** What peers know that this instance does not, and for how long it has been so. */
export class PendingPeerRevision {
  private readonly copyDelayMs: number;
  private revision = 0;
  private sinceMs = 0;

  /**
   * @param copyDelayMs Milliseconds in which the store's own watch should have
   * brought the news, so that a peer need not be asked for a whole copy.
   */
  constructor(copyDelayMs: number) {
    this.copyDelayMs = copyDelayMs;
  }

  /** Notes the revision that a peer has. */
  recordRevision(revision: number, ownRevision: number, nowMs: number): void {
    if (revision <= ownRevision) return;
    if (this.revision <= ownRevision) this.sinceMs = nowMs;
    this.revision = Math.max(this.revision, revision);
  }

  /** Returns whether a peer has something newer than this instance. */
  isNewerThan(ownRevision: number): boolean {
    return this.revision > ownRevision;
  }

  /** Returns whether a peer should be asked for a copy. */
  isDue(ownRevision: number, nowMs: number): boolean {
    if (!this.isNewerThan(ownRevision)) return false;
    return nowMs - this.sinceMs >= this.copyDelayMs;
  }

  /** Notes that a peer was asked and had nothing that differs. */
  removeRevision(): void {
    this.revision = 0;
  }
}
