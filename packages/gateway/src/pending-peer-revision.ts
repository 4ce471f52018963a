/** The newest revision that peers have and this instance lacks, and since when. */
export class PendingPeerRevision {
  private readonly copyDelayMs: number;
  private revision = 0;
  private sinceMs = 0;

  /**
   * @param copyDelayMs Milliseconds for which the store's watch may bring the change
   * before a whole copy is requested from a peer.
   */
  constructor(copyDelayMs: number) {
    this.copyDelayMs = copyDelayMs;
  }

  /** Records the revision that a peer has. */
  recordRevision(revision: number, ownRevision: number, nowMs: number): void {
    if (revision <= ownRevision) return;
    if (this.revision <= ownRevision) this.sinceMs = nowMs;
    this.revision = Math.max(this.revision, revision);
  }

  /** Returns whether a peer has a newer revision than this instance. */
  isNewerThan(ownRevision: number): boolean {
    return this.revision > ownRevision;
  }

  /** Returns whether a copy should be requested from a peer now. */
  isDue(ownRevision: number, nowMs: number): boolean {
    if (!this.isNewerThan(ownRevision)) return false;
    return nowMs - this.sinceMs >= this.copyDelayMs;
  }

  /** Discards the recorded revision; called when a peer's state proved to be the same. */
  removeRevision(): void {
    this.revision = 0;
  }
}
