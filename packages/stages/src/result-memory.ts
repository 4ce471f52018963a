import type {OwnedResult, ResultOwner} from '@hollowstack/types';

/** A result stored at an upstream. */
export interface StoredResult {
  readonly upstreamId: string;
  /** Address of the upstream. */
  readonly address: string;
  readonly failureDomain: string;
  /** The instance that reads the result; undefined if the job did not name it. */
  readonly owner: ResultOwner | undefined;
  readonly service: string;
  readonly bytes: number;
  /** Start of the call; memory is reserved from then on. */
  readonly reservedAtMs: number;
  /** When the upstream discards the result. */
  readonly expiresAtMs: number;
}

/**
 * Accounts for the result memory of upstreams. Memory is reserved before a call and stays in
 * use until the result is released or expires.
 */
export class ResultMemory {
  private readonly stored = new Map<string, StoredResult>();
  private readonly usedBytes = new Map<string, number>();

  /** Returns the reserved and stored bytes at an upstream. */
  getUsedBytes(upstreamId: string): number {
    return this.usedBytes.get(upstreamId) ?? 0;
  }

  /** Counts the bytes of stored results of a service, reservations excluded. */
  countStoredBytes(service: string): number {
    let sum = 0;
    for (const result of this.stored.values()) {
      if (result.service === service) sum += result.bytes;
    }
    return sum;
  }

  /** Reserves memory for a result before its call. */
  reserve(upstreamId: string, bytes: number): void {
    this.usedBytes.set(upstreamId, this.getUsedBytes(upstreamId) + bytes);
  }

  /** Cancels a reservation whose call produced no result. */
  cancelReservation(upstreamId: string, bytes: number): void {
    this.removeBytes(upstreamId, bytes);
  }

  /** Converts a reservation to a stored result. */
  recordResult(handle: string, result: StoredResult): void {
    this.stored.set(handle, result);
  }

  /** Returns the id of the upstream that stores a result; undefined if it is not known. */
  findUpstreamId(handle: string): string | undefined {
    return this.stored.get(handle)?.upstreamId;
  }

  /** Lists the stored results whose owner is known, oldest first. */
  listOwned(): OwnedResult[] {
    return [...this.stored].flatMap(([handle, stored]) => {
      const {owner, address, failureDomain} = stored;
      return owner ? [{handle, address, failureDomain, owner}] : [];
    });
  }

  /** Frees the memory of a result and returns it; undefined if it is not known. */
  release(handle: string): StoredResult | undefined {
    const result = this.stored.get(handle);
    if (!result) return undefined;
    this.stored.delete(handle);
    this.removeBytes(result.upstreamId, result.bytes);
    return result;
  }

  /** Removes results that have expired at their upstreams. */
  removeExpired(nowMs: number): void {
    for (const [handle, {expiresAtMs}] of this.stored) {
      if (expiresAtMs <= nowMs) this.release(handle);
    }
  }

  /** Removes the results and reservations of an upstream that no longer exists. */
  removeUpstream(upstreamId: string): void {
    for (const [handle, result] of this.stored) {
      if (result.upstreamId === upstreamId) this.stored.delete(handle);
    }
    this.usedBytes.delete(upstreamId);
  }

  private removeBytes(upstreamId: string, bytes: number): void {
    const left = Math.max(0, this.getUsedBytes(upstreamId) - bytes);
    if (left === 0) this.usedBytes.delete(upstreamId);
    else this.usedBytes.set(upstreamId, left);
  }
}
