import type {WatchEvent} from './key-value-store.ts';

/** Keys whose changes are remembered, at most; the oldest changes are forgotten first. */
const MAX_KEYS = 10_000;

/**
 * Revisions of the changes that were handled since the last reading, by key. A reading may
 * be answered after newer changes, which it must not undo.
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

  /** Returns whether a key has changed after a reading was made. */
  hasNewerChange(key: string, storeRevision: number): boolean {
    return (this.revisions.get(key) ?? 0) > storeRevision;
  }

  /** Forgets the changes that a reading contains. */
  removeUpTo(storeRevision: number): void {
    for (const [key, revision] of this.revisions) {
      if (revision <= storeRevision) this.revisions.delete(key);
    }
  }
}
