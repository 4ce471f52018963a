import type {Clock} from '@hollowstack/clock';
import {
  KeyValueStore,
  StoreError,
  type KeyRange,
  type Lease,
  type RangePartHandler,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
  type WatchProgress,
} from './key-value-store.ts';
import {TokenBucket} from '@hollowstack/token-bucket';

/** Rate limit of an instance's calls. */
export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  readonly burst: number;
}

/** Limits an instance's calls to its share of the store's rate; rejects calls beyond it. */
export class BudgetedStore extends KeyValueStore {
  private readonly store: KeyValueStore;
  private readonly bucket: TokenBucket;
  private callCount = 0;
  private refusedCount = 0;

  constructor(store: KeyValueStore, clock: Clock, options: CallBudgetOptions) {
    super();
    this.store = store;
    this.bucket = new TokenBucket(clock, options.callsPerSecond, options.burst);
  }

  /** Returns the number of calls sent. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Returns the number of calls that the budget refused. */
  getRefusedCount(): number {
    return this.refusedCount;
  }

  async readRange(
    range: KeyRange,
    minModRevision?: number,
    handlePart?: RangePartHandler,
  ): Promise<RangeResult> {
    this.takeCall();
    return this.store.readRange(range, minModRevision, handlePart);
  }

  async runTransaction(transaction: Transaction): Promise<TransactionResult> {
    this.takeCall();
    return this.store.runTransaction(transaction);
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    this.takeCall();
    return this.store.grantLease(ttlMs);
  }

  async renewLease(leaseId: string): Promise<boolean> {
    this.takeCall();
    return this.store.renewLease(leaseId);
  }

  async revokeLease(leaseId: string): Promise<void> {
    this.takeCall();
    return this.store.revokeLease(leaseId);
  }

  async *watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]> {
    this.takeCall();
    yield* this.store.watchRanges(ranges, fromRevision, signal, handleProgress);
  }

  override refreshWatch(): void {
    this.store.refreshWatch();
  }

  private takeCall(): void {
    if (!this.bucket.acquire()) {
      this.refusedCount += 1;
      throw new StoreError(
        'the call budget of this instance is used up',
        'none',
      );
    }
    this.callCount += 1;
  }
}
