import type {Clock} from '@hollowstack/clock';
import {createSingleKeyRange, type KeyValueStore} from '@hollowstack/store';

/** Store key that names the instance that sends orders. */
export const PLACEMENT_HOLDER_KEY = 'hollowstack/placement/holder';

/** A held lease, with the validity that its holder may rely on. */
export interface HeldLease {
  /** Fencing token; increases with each holder. Engines that check it refuse a lower one. */
  readonly fence: number;
  /** Milliseconds since the epoch; no order may be in flight after it. */
  readonly validUntilMs: number;
  /** When the last confirmed renewal, or the acquisition, was sent. */
  readonly renewedAtMs: number;
}

/** Duration of the lease, which bounds the time without a holder. */
const LEASE_MS = 10_000;
/** Largest expected drift between the clocks of the store and the holder during one lease. */
const CLOCK_SKEW_MARGIN_MS = 1000;

/**
 * The lease under which one instance sends orders. The holder counts its
 * duration from the time before the renewal is sent. The store counts from the
 * receipt, which is later, so the holder always stops before the lease expires.
 */
export class PlacementLease {
  private readonly store: KeyValueStore;
  private readonly clock: Clock;
  private readonly instance: string;
  private leaseId: string | undefined;
  private held: HeldLease | undefined;

  constructor(store: KeyValueStore, clock: Clock, instance: string) {
    this.store = store;
    this.clock = clock;
    this.instance = instance;
  }

  /** Returns the lease; undefined if it is not held or no longer valid. */
  getValidLease(): HeldLease | undefined {
    const isValid = this.held && this.clock.getNow() < this.held.validUntilMs;
    return isValid ? this.held : undefined;
  }

  /**
   * Renews the lease, or acquires it if no instance holds it.
   *
   * @returns undefined if another instance holds it or the renewal took too long.
   * @throws StoreError if a store call fails.
   */
  async renew(): Promise<HeldLease | undefined> {
    if (this.held && this.leaseId !== undefined) {
      const sentAtMs = this.clock.getNow();
      const isRenewed = await this.store.renewLease(this.leaseId);
      if (isRenewed) {
        this.held = createHeldLease(this.held.fence, sentAtMs);
        return this.getValidLease();
      }
      this.held = undefined;
      this.leaseId = undefined;
    }
    return this.acquire();
  }

  /** Revokes the lease, so that another instance need not wait until it expires; store errors are ignored. */
  async release(): Promise<void> {
    const {leaseId} = this;
    this.held = undefined;
    this.leaseId = undefined;
    if (leaseId !== undefined) {
      await this.store.revokeLease(leaseId).catch(() => {});
    }
  }

  private async acquire(): Promise<HeldLease | undefined> {
    const range = createSingleKeyRange(PLACEMENT_HOLDER_KEY);
    const found = await this.store.readRange(range);
    if (found.keyValues.length > 0) return undefined;
    const sentAtMs = this.clock.getNow();
    const lease = await this.store.grantLease(LEASE_MS);
    const result = await this.store.runTransaction({
      comparisons: [{key: PLACEMENT_HOLDER_KEY, modRevision: 0}],
      onSuccess: [
        {
          type: 'put',
          key: PLACEMENT_HOLDER_KEY,
          value: this.instance,
          leaseId: lease.id,
        },
      ],
    });
    if (!result.succeeded) {
      await this.store.revokeLease(lease.id).catch(() => {});
      return undefined;
    }
    this.leaseId = lease.id;
    // The store's revision increases with every write, so each holder gets a higher fence.
    this.held = createHeldLease(result.storeRevision, sentAtMs);
    return this.getValidLease();
  }
}

function createHeldLease(fence: number, sentAtMs: number): HeldLease {
  return {
    fence,
    validUntilMs: sentAtMs + LEASE_MS - CLOCK_SKEW_MARGIN_MS,
    renewedAtMs: sentAtMs,
  };
}
