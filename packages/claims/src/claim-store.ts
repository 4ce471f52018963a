import {waitFor, type Clock} from '@hollowstack/clock';
import {
  StoreError,
  createSingleKeyRange,
  StoreIdentity,
  type KeyValue,
  type KeyValueStore,
} from '@hollowstack/store';
import type {CallOutcome} from '@hollowstack/types';
import {claimRecordSchema, type ClaimRecord} from './claim-record.ts';

/** Identifies a call and the instance that claims it. */
export interface ClaimIdentity {
  readonly key: string;
  readonly requestId: string;
  readonly instance: string;
  readonly fingerprint: string;
}

/** A claim as read from the store; this or another instance may hold it. */
export interface HeldClaim {
  readonly key: string;
  readonly record: ClaimRecord;
  readonly modRevision: number;
}

/** Result of acquiring a claim: `taken` means that another request has claimed the call. */
export type ClaimResult =
  | {readonly type: 'granted'; readonly claim: HeldClaim}
  | {readonly type: 'taken'; readonly claim: HeldClaim};

/**
 * Milliseconds for which claims are retained: the 24 h within which callers may
 * resend a call, plus the hour for which a lease is reused.
 */
const RETENTION_MS = 25 * 60 * 60 * 1000;
/** Milliseconds for which new claims share a lease before another one is granted. */
const LEASE_REUSE_MS = 60 * 60 * 1000;
/**
 * Milliseconds between attempts to acquire a claim; about 40 times the response
 * time of a healthy store.
 */
const RETRY_MS = 150;

/**
 * Reads and writes claims in the store. A claim is created only if none exists.
 * It has no time limit that could expire while its holder is paused; it is only
 * deleted at the end of its retention.
 */
export class ClaimStore {
  private readonly store: KeyValueStore;
  private readonly clock: Clock;
  private readonly identity: StoreIdentity;
  private retentionLease: {id: string; grantedAtMs: number} | undefined;

  constructor(store: KeyValueStore, clock: Clock, identity: StoreIdentity) {
    this.store = store;
    this.clock = clock;
    this.identity = identity;
  }

  /**
   * Acquires a claim; retries until it is granted or taken, or the time is up.
   *
   * @param giveUpAtMs Milliseconds since the epoch.
   * @throws StoreError if it is still unknown whether the claim was acquired,
   *   or HollowstackError `store-restored` if claims may have been lost. In
   *   either case the call must not run.
   */
  async acquireClaim(
    identity: ClaimIdentity,
    giveUpAtMs: number,
  ): Promise<ClaimResult> {
    while (true) {
      try {
        return await this.acquireOnce(identity);
      } catch (error) {
        const isLate = this.clock.getNow() + RETRY_MS >= giveUpAtMs;
        if (!(error instanceof StoreError) || isLate) throw error;
      }
      await waitFor(this.clock, RETRY_MS);
    }
  }

  /**
   * Takes over a claim whose holder reports that it did not run the call.
   * Returns undefined if the claim has changed since it was read.
   */
  async replaceClaim(
    abandoned: HeldClaim,
    identity: ClaimIdentity,
  ): Promise<HeldClaim | undefined> {
    const record = createRecord(identity);
    const modRevision = await this.putRecord(
      abandoned.key,
      record,
      abandoned.modRevision,
    );
    if (modRevision === undefined) return undefined;
    return {key: abandoned.key, record, modRevision};
  }

  /** Records how the call of a claim ended; idempotent. */
  async recordOutcome(claim: HeldClaim, outcome: CallOutcome): Promise<void> {
    if (outcome.type === 'not-run') {
      await this.removeClaim(claim);
      return;
    }
    const record = {...claim.record, outcome};
    await this.putRecord(claim.key, record, claim.modRevision);
  }

  /** Reads a claim; returns undefined if there is none. */
  async readClaim(key: string): Promise<HeldClaim | undefined> {
    const found = await this.store.readRange(createSingleKeyRange(key));
    const keyValue = found.keyValues.at(0);
    return keyValue && toHeldClaim(keyValue);
  }

  private async acquireOnce(identity: ClaimIdentity): Promise<ClaimResult> {
    const record = createRecord(identity);
    const leaseId = await this.getRetentionLease();
    const result = await this.store.runTransaction({
      comparisons: [{key: identity.key, modRevision: 0}],
      onSuccess: [
        {
          type: 'put',
          key: identity.key,
          value: JSON.stringify(record),
          leaseId,
        },
      ],
      onFailure: [{type: 'read', range: createSingleKeyRange(identity.key)}],
    });
    await this.identity.checkStore(result.storeId);
    if (result.succeeded) {
      const modRevision = result.storeRevision;
      return {
        type: 'granted',
        claim: {key: identity.key, record, modRevision},
      };
    }
    const keyValue = result.reads.at(0)?.keyValues.at(0);
    if (!keyValue) throw new StoreError('claim was removed meanwhile', 'none');
    const claim = toHeldClaim(keyValue);
    // The claim may come from an earlier attempt of this request whose answer was lost.
    const isOwn = claim.record.requestId === identity.requestId;
    return {type: isOwn ? 'granted' : 'taken', claim};
  }

  private async putRecord(
    key: string,
    record: ClaimRecord,
    expectedModRevision: number,
  ): Promise<number | undefined> {
    const leaseId = await this.getRetentionLease();
    const result = await this.store.runTransaction({
      comparisons: [{key, modRevision: expectedModRevision}],
      onSuccess: [{type: 'put', key, value: JSON.stringify(record), leaseId}],
    });
    return result.succeeded ? result.storeRevision : undefined;
  }

  private async removeClaim(claim: HeldClaim): Promise<void> {
    await this.store.runTransaction({
      comparisons: [{key: claim.key, modRevision: claim.modRevision}],
      onSuccess: [{type: 'delete', range: createSingleKeyRange(claim.key)}],
    });
  }

  // All claims of an hour share one lease, so that a single call makes the store
  // delete them by itself a day later.
  private async getRetentionLease(): Promise<string> {
    const nowMs = this.clock.getNow();
    const current = this.retentionLease;
    if (current && nowMs - current.grantedAtMs < LEASE_REUSE_MS)
      return current.id;
    const {id} = await this.store.grantLease(RETENTION_MS);
    this.retentionLease = {id, grantedAtMs: nowMs};
    return id;
  }
}

function createRecord(identity: ClaimIdentity): ClaimRecord {
  const {requestId, instance, fingerprint} = identity;
  return {requestId, instance, fingerprint};
}

function toHeldClaim(keyValue: KeyValue): HeldClaim {
  return {
    key: keyValue.key,
    record: claimRecordSchema.parse(JSON.parse(keyValue.value)),
    modRevision: keyValue.modRevision,
  };
}
