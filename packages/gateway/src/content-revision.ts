/**
 * Store revisions of a range's content. After a watch began anew, changes arrive while
 * others, from before it, are still unknown; until the next reading the content is complete
 * only up to where the previous watch left off.
 */
export class ContentRevision {
  private newest = 0;
  private complete = 0;
  private hasGap = true;

  /** Returns the store revision of the newest change that is known. */
  getNewest(): number {
    return this.newest;
  }

  /** Returns the store revision up to which every change is known; 0 before a reading. */
  getComplete(): number {
    return this.complete;
  }

  /** Notes that changes may have been missed, which the next reading brings. */
  beginGap(): void {
    this.hasGap = true;
  }

  recordChange(storeRevision: number): void {
    this.newest = Math.max(this.newest, storeRevision);
    if (!this.hasGap) this.complete = this.newest;
  }

  /** Notes a reading that belongs to the current watch. */
  recordFullRead(storeRevision: number): void {
    this.hasGap = false;
    this.recordChange(storeRevision);
  }

  /** Notes a peer's complete content, which need not reach the current watch's start. */
  recordCopy(storeRevision: number): void {
    this.recordChange(storeRevision);
    this.complete = Math.max(this.complete, storeRevision);
  }
}
