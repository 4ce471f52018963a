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

/** Which call is claimed, by whom. */
export interface ClaimIdentity {
  readonly key: string;
  readonly requestId: string;
  readonly instance: string;
  readonly fingerprint: string;
}

/** A claim that this instance holds. */
export interface HeldClaim {
  readonly key: string;
  readonly record: ClaimRecord;
  readonly modRevision: number;
}

/** What came of asking for a claim. */
export type ClaimResult =
  | {readonly type: 'granted'; readonly claim: HeldClaim}
  | {readonly type: 'taken'; readonly claim: HeldClaim};

/**
 * Milliseconds for which claims are kept: the 24 h in which callers may
 * resend, and an hour to renew in.
 */
const RETENTION_MS = 25 * 60 * 60 * 1000;
/**
 * Milliseconds between two leases for claims, so that a lease holds an hour of
 * claims.
 */
const LEASE_REUSE_MS = 60 * 60 * 1000;
/**
 * Milliseconds before a failed call to the store is tried again; some forty
 * answers of a healthy one.
 */
const RETRY_MS = 150;

/**
 * Claims in the platform's service. A claim is created only where none is; it
 * has no time limit that a paused holder could outlive, only a day's retention.
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
   * Asks for a claim until it is granted, taken or the time is up.
   *
   * @param giveUpAtMs Milliseconds since the epoch.
   * @throws StoreError where it is still not known whether the claim is held,
   *   or HollowstackError `store-restored` where claims may have been lost; the
   *   caller must not run the call then.
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
   * Takes over a claim whose holder says that it did not run the call.
   * Returns undefined where the claim has changed meanwhile.
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

  /** Records how the call of a held claim ended; safe to repeat. */
  async recordOutcome(claim: HeldClaim, outcome: CallOutcome): Promise<void> {
    if (outcome.type === 'not-run') {
      await this.removeClaim(claim);
      return;
    }
    const record = {...claim.record, outcome};
    await this.putRecord(claim.key, record, claim.modRevision);
  }

  /** Reads a claim; undefined where there is none. */
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
    // An earlier try of ours whose answer was lost may be what stands there.
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

  // One lease an hour holds all claims of that hour, so that the service
  // clears them by itself a day later at the cost of one call.
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
