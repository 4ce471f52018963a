/** A stored value with the store revisions at which its key was created and last modified. */
export interface StoredValue {
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly leaseId: string | undefined;
}

/** One change to a key, as reported to watches. */
export interface StoredChange {
  readonly key: string;
  /** Undefined for a deletion. */
  readonly stored: StoredValue | undefined;
  readonly revision: number;
}

/** The keys and values of the store at its current revision. */
export class KeyValueState {
  private values = new Map<string, StoredValue>();
  private currentRevision = 1;

  get revision(): number {
    return this.currentRevision;
  }

  getValue(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /** Returns the existing keys from `start` to before `end`, sorted; only `start` if `end` is undefined. */
  listRange(start: string, end: string | undefined): string[] {
    if (end === undefined) return this.values.has(start) ? [start] : [];
    return [...this.values.keys()]
      .filter(key => key >= start && key < end)
      .sort();
  }

  /** Returns the keys attached to a lease. */
  listLeaseKeys(leaseId: string): string[] {
    return [...this.values]
      .filter(([, stored]) => stored.leaseId === leaseId)
      .map(([key]) => key);
  }

  /** Returns the ids of all leases that have keys attached. */
  listLeaseIds(): string[] {
    const ids = [...this.values.values()].map(({leaseId}) => leaseId);
    return [...new Set(ids.filter(id => id !== undefined))];
  }

  /** Increments the store revision and returns it. */
  advanceRevision(): number {
    this.currentRevision += 1;
    return this.currentRevision;
  }

  /** Writes a key at the current revision. */
  putValue(key: string, value: string, leaseId?: string): StoredChange {
    const revision = this.currentRevision;
    const createRevision = this.values.get(key)?.createRevision ?? revision;
    const stored: StoredValue = {
      value,
      createRevision,
      modRevision: revision,
      leaseId,
    };
    this.values.set(key, stored);
    return {key, stored, revision};
  }

  /** Deletes a key at the current revision. */
  removeValue(key: string): StoredChange {
    this.values.delete(key);
    return {key, stored: undefined, revision: this.currentRevision};
  }

  /** Creates a copy that later changes to this state do not affect. */
  createCopy(): KeyValueState {
    const copy = new KeyValueState();
    copy.values = new Map(this.values);
    copy.currentRevision = this.currentRevision;
    return copy;
  }
}
