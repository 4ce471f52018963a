import {HollowstackError} from '@hollowstack/errors';

/** A key with its value and revisions. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last change. */
  readonly modRevision: number;
  /** Store revision at which the key was created. */
  readonly createRevision: number;
}

/** A half-open range of keys. */
export interface KeyRange {
  readonly start: string;
  /** First key after the range; absent if the range is the single key `start`. */
  readonly end?: string;
  readonly watchTiming?: WatchTiming;
}

/** How a range is watched if the watch works by long polling. */
export interface WatchTiming {
  /** Maximum milliseconds that the store waits for a change in one call. */
  readonly waitMs: number;
  /** Milliseconds from an answer with changes to the next call, so that its answer combines several changes. */
  readonly batchDelayMs: number;
  /** Minimum milliseconds between the end of the wait and the timeout of the call. */
  readonly timeoutMarginMs: number;
  /**
   * Target for the age in milliseconds of the time up to which all changes are known
   * (`WatchProgress.knownUntilMs`). The older that time is when a call is sent, the shorter
   * the call's wait, down to that of a probe. Absent for no target.
   */
  readonly confirmWithinMs?: number;
}

/** Result of a read. */
export interface RangeResult {
  /** Id of the store; a store that was restored from a backup has a new one. */
  readonly storeId: string;
  /** Store revision at which the read was made. */
  readonly storeRevision: number;
  readonly keyValues: readonly KeyValue[];
}

/** Receives a part of a range while the rest is still being read. */
export type RangePartHandler = (keyValues: readonly KeyValue[]) => void;

/** A condition of a transaction. A modRevision of 0 means that the key must not exist. */
export interface Comparison {
  readonly key: string;
  readonly modRevision: number;
}

/** An operation of a transaction. */
export type Operation =
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: string;
      readonly leaseId?: string;
    }
  | {readonly type: 'delete'; readonly range: KeyRange}
  | {readonly type: 'read'; readonly range: KeyRange};

/** Operations applied atomically: `onSuccess` if every comparison holds, else `onFailure`. */
export interface Transaction {
  readonly comparisons: readonly Comparison[];
  readonly onSuccess: readonly Operation[];
  readonly onFailure?: readonly Operation[];
}

/** Result of a transaction. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** Id of the store; a store that was restored from a backup has a new one. */
  readonly storeId: string;
  readonly storeRevision: number;
  /** Results of the read operations, in their order. */
  readonly reads: readonly RangeResult[];
}

/** A lease that expires unless it is renewed in time. */
export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

/** A change reported by a watch. */
export interface WatchEvent {
  readonly type: 'put' | 'delete';
  readonly key: string;
  /** Empty for a deletion. */
  readonly value: string;
  readonly modRevision: number;
}

/** Reports that all changes of a range up to a time have been yielded. */
export interface WatchProgress {
  /** First key of the range. */
  readonly start: string;
  /** Time on this instance's clock, in milliseconds since the epoch. */
  readonly knownUntilMs: number;
}

/** Whether a failed call may have changed the store: `none` if it has not. */
export type StoreEffect = 'none' | 'unknown';

/** The store did not answer in time or refused the call. */
export class StoreError extends HollowstackError {
  readonly effect: StoreEffect;

  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super('store-unavailable', message, {cause});
    this.name = 'StoreError';
    this.effect = effect;
  }
}

/** The store answered with a status other than success. */
export class StoreRefusalError extends StoreError {
  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super(message, effect, cause);
    this.name = 'StoreRefusalError';
  }
}

/** The platform's key-value store. Every method throws StoreError if the store does not answer. */
export abstract class KeyValueStore {
  /**
   * Reads a range; with `minModRevision`, only keys last changed at that revision or later.
   *
   * @param handlePart Called with each part as it arrives, whether or not the read succeeds;
   *   never called by stores that answer with the whole range. Parts are not filtered by
   *   `minModRevision`.
   */
  abstract readRange(
    range: KeyRange,
    minModRevision?: number,
    handlePart?: RangePartHandler,
  ): Promise<RangeResult>;

  /** Runs a transaction atomically. */
  abstract runTransaction(transaction: Transaction): Promise<TransactionResult>;

  /** Grants a lease of `ttlMs` milliseconds, rounded up to whole seconds. */
  abstract grantLease(ttlMs: number): Promise<Lease>;

  /** Renews a lease; resolves to false if it has expired. */
  abstract renewLease(leaseId: string): Promise<boolean>;

  /** Ends a lease and deletes the keys attached to it. */
  abstract revokeLease(leaseId: string): Promise<void>;

  /**
   * Watches ranges until the signal aborts. Yields an empty list once the watch
   * is established, and again whenever changes may have been missed.
   *
   * @param fromRevision First store revision whose changes are reported.
   * @param handleProgress Called once the changes up to a time have been consumed; never called
   *   by stores that do not report progress.
   */
  abstract watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]>;

  /** Makes the watch request changes at once; does nothing if changes are streamed. */
  refreshWatch(): void {}

  /**
   * Returns whether the watch was re-established after an outage, as far as the
   * adapter can tell; to be called when a watch yields an empty list.
   */
  isAfterOutage(): boolean {
    return false;
  }

  /**
   * Returns an identifier from the latest answer, which changes when the store is restored
   * from a backup. Writes made since the backup are then lost and have to be repeated. Empty
   * if the adapter does not detect a restore.
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
