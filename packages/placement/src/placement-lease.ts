import type {Clock} from '@hollowstack/clock';
import {createSingleKeyRange, type KeyValueStore} from '@hollowstack/store';

/** Key of the one instance that sends orders. */
export const PLACEMENT_HOLDER_KEY = 'hollowstack/placement/holder';

/** A lease as its holder may rely on it. */
export interface HeldLease {
  /** Rises with each holder; engines that check refuse a lower one. */
  readonly fence: number;
  /** Milliseconds since the epoch; no order may still be under way then. */
  readonly validUntilMs: number;
  /** When the last confirmed renewal was sent. */
  readonly renewedAtMs: number;
}

/** Milliseconds of the placement lease: the longest time without a holder. */
const LEASE_MS = 10_000;
/** What clocks of the service and the holder may run apart in one lease. */
const CLOCK_SKEW_MARGIN_MS = 1000;

/**
 * The lease under which one instance sends orders. Its time is counted from
 * before the renewal was sent: the service counts from when it got it, which
 * is later, so the holder always stops first.
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

  /** Returns the lease if it is still valid. */
  getValidLease(): HeldLease | undefined {
    const isValid = this.held && this.clock.getNow() < this.held.validUntilMs;
    return isValid ? this.held : undefined;
  }

  /** Renews the lease, or acquires it where no instance has it. @throws StoreError. */
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

  /** Gives the lease back, so that another instance need not wait for its end. */
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
    // The store's revision rises with every write, so each holder's is higher.
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
