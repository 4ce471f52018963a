import type {WatchEvent} from './key-value-store.ts';

/** Largest number of keys whose changes are recorded; the oldest change is dropped first. */
const MAX_KEYS = 10_000;

/**
 * Revisions of the changes that were handled since the last full read, by key. The answer to a
 * full read may arrive after newer changes, which it must not undo.
 */
export class ChangeRevisions {
  private readonly revisions = new Map<string, number>();

  recordChange({
    key,
    modRevision,
  }: Pick<WatchEvent, 'key' | 'modRevision'>): void {
    this.revisions.delete(key);
    this.revisions.set(key, modRevision);
    if (this.revisions.size <= MAX_KEYS) return;
    const [oldest] = this.revisions.keys();
    this.revisions.delete(oldest);
  }

  /** Returns whether a change of a key after `storeRevision` was handled. */
  hasNewerChange(key: string, storeRevision: number): boolean {
    return (this.revisions.get(key) ?? 0) > storeRevision;
  }

  /** Removes the changes that a full read of `storeRevision` contains. */
  removeUpTo(storeRevision: number): void {
    for (const [key, revision] of this.revisions) {
      if (revision <= storeRevision) this.revisions.delete(key);
    }
  }
}
