import {HollowstackError} from '@hollowstack/errors';

/** A key with its value and the revisions at which the store saw them. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last change. */
  readonly modRevision: number;
  /** Store revision at which the key came to be. */
  readonly createRevision: number;
}

/** A half-open range of keys. */
export interface KeyRange {
  readonly start: string;
  /** First key behind the range; absent for the one key `start`. */
  readonly end?: string;
  readonly watchTiming?: WatchTiming;
}

/** How a range is watched where a watch is a call that ends with its changes. */
export interface WatchTiming {
  /** Longest milliseconds of one call without a change. */
  readonly waitMs: number;
  /** Milliseconds after a change before the next call, so that it brings several. */
  readonly batchDelayMs: number;
  /** Milliseconds beyond the wait after which a call counts as unanswered, at least. */
  readonly timeoutMarginMs: number;
  /**
   * Milliseconds within which an answer should confirm what is known; after changes that came
   * late in a call the next one waits for less. Absent where that does not matter.
   */
  readonly confirmWithinMs?: number;
}

/** What a read found. */
export interface RangeResult {
  /** Names the store; one that was restored from a backup has a new name. */
  readonly storeId: string;
  /** Store revision at which the read was true. */
  readonly storeRevision: number;
  readonly keyValues: readonly KeyValue[];
}

/** A condition of a transaction. A modRevision of 0 means that the key must not exist. */
export interface Comparison {
  readonly key: string;
  readonly modRevision: number;
}

/** One step of a transaction. */
export type Operation =
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: string;
      readonly leaseId?: string;
    }
  | {readonly type: 'delete'; readonly range: KeyRange}
  | {readonly type: 'read'; readonly range: KeyRange};

/** Steps taken together where every comparison holds, others where one does not. */
export interface Transaction {
  readonly comparisons: readonly Comparison[];
  readonly onSuccess: readonly Operation[];
  readonly onFailure?: readonly Operation[];
}

/** What a transaction did. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** Names the store; one that was restored from a backup has a new name. */
  readonly storeId: string;
  readonly storeRevision: number;
  /** Results of the read steps, in their order. */
  readonly reads: readonly RangeResult[];
}

/** A lease that the service ends when it is not renewed in time. */
export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

/** One change that a watch tells of. */
export interface WatchEvent {
  readonly type: 'put' | 'delete';
  readonly key: string;
  /** Empty for a deletion. */
  readonly value: string;
  readonly modRevision: number;
}

/** Tells that every change of a range up to a time was yielded before. */
export interface WatchProgress {
  /** First key of the range. */
  readonly start: string;
  /** Time of the instance's clock. */
  readonly knownUntilMs: number;
}

/** Whether a failed call may still have changed the store. */
export type StoreEffect = 'none' | 'unknown';

/** The service did not answer, or not in time. */
export class StoreError extends HollowstackError {
  readonly effect: StoreEffect;

  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super('store-unavailable', message, {cause});
    this.name = 'StoreError';
    this.effect = effect;
  }
}

/** The service answered, with something else than success. */
export class StoreRefusalError extends StoreError {
  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super(message, effect, cause);
    this.name = 'StoreRefusalError';
  }
}

/** The platform's key-value service. Every method throws StoreError when it does not answer. */
export abstract class KeyValueStore {
  /** Reads a range; `minModRevision` leaves out what has not changed since. */
  abstract readRange(
    range: KeyRange,
    minModRevision?: number,
  ): Promise<RangeResult>;

  /** Runs a transaction. */
  abstract runTransaction(transaction: Transaction): Promise<TransactionResult>;

  /** Grants a lease of `ttlMs` milliseconds, rounded up to whole seconds. */
  abstract grantLease(ttlMs: number): Promise<Lease>;

  /** Renews a lease; resolves to false where it has already ended. */
  abstract renewLease(leaseId: string): Promise<boolean>;

  /** Ends a lease and deletes the keys under it. */
  abstract revokeLease(leaseId: string): Promise<void>;

  /**
   * Watches ranges over one call until the signal aborts.
   * It yields an empty list once the watch stands, and again whenever changes
   * may have been missed.
   *
   * @param fromRevision First store revision whose changes are told.
   * @param handleProgress Called once the changes before it were taken; stores that cannot
   *   tell never call it.
   */
  abstract watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]>;

  /** Has the watch ask for changes at once; does nothing where changes are streamed. */
  refreshWatch(): void {}

  /**
   * Returns whether the watch stands anew after the store was away, as far as
   * the store itself knows; to be asked when a watch yields an empty list.
   */
  isAfterOutage(): boolean {
    return false;
  }

  /**
   * Returns an identifier, as of the latest answer, that changes when the store is restored
   * from a backup. Writes made since the backup are lost then and have to be repeated.
   */
  getHistoryId(): string {
    return '';
  }
}

/** Creates the range of all keys that begin with a prefix. */
export function createPrefixRange(prefix: string): KeyRange {
  const last = prefix.charCodeAt(prefix.length - 1);
  const end = prefix.slice(0, -1) + String.fromCharCode(last + 1);
  return {start: prefix, end};
}

/** Creates the range of one key. */
export function createSingleKeyRange(key: string): KeyRange {
  return {start: key};
}

/** Returns whether a key lies in a range. */
export function isInRange(key: string, range: KeyRange): boolean {
  if (range.end === undefined) return key === range.start;
  return key >= range.start && key < range.end;
}
