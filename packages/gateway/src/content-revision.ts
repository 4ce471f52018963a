/**
 * Store revisions of a range's content. After a watch has restarted, changes arrive while
 * earlier ones may be missing. Until the next full read the content is complete only up to
 * the revision at which the previous watch ended.
 */
export class ContentRevision {
  private newest = 0;
  private complete = 0;
  private hasGap = true;

  /** Returns the store revision of the newest known change. */
  getNewest(): number {
    return this.newest;
  }

  /** Returns the store revision up to which every change is known; 0 before a full read. */
  getComplete(): number {
    return this.complete;
  }

  /** Records that changes may have been missed, until the next full read. */
  beginGap(): void {
    this.hasGap = true;
  }

  recordChange(storeRevision: number): void {
    this.newest = Math.max(this.newest, storeRevision);
    if (!this.hasGap) this.complete = this.newest;
  }

  /** Records a full read that belongs to the current watch. */
  recordFullRead(storeRevision: number): void {
    this.hasGap = false;
    this.recordChange(storeRevision);
  }

  /** Records a peer's complete content, which may end before the current watch began. */
  recordCopy(storeRevision: number): void {
    this.recordChange(storeRevision);
    this.complete = Math.max(this.complete, storeRevision);
  }
}
