import type {OwnedResult, ResultOwner} from '@hollowstack/types';

/** A result that its upstream holds. */
export interface StoredResult {
  readonly upstreamId: string;
  /** Address of that upstream. */
  readonly address: string;
  readonly failureDomain: string;
  /** Who reads it; undefined where the job did not say. */
  readonly owner: ResultOwner | undefined;
  readonly service: string;
  readonly bytes: number;
  /** When its call began: from then on it takes room. */
  readonly reservedAtMs: number;
  /** When its upstream drops it. */
  readonly expiresAtMs: number;
}

/**
 * Accounts for the room that results take at their upstreams: reserved from
 * before their call, held until they are released or run out.
 */
export class ResultMemory {
  private readonly held = new Map<string, StoredResult>();
  private readonly used = new Map<string, number>();

  /** Returns the bytes reserved and held at an upstream. */
  getUsedBytes(upstreamId: string): number {
    return this.used.get(upstreamId) ?? 0;
  }

  /** Returns the bytes of results that the upstreams of a service hold. */
  countStoredBytes(service: string): number {
    let sum = 0;
    for (const result of this.held.values()) {
      if (result.service === service) sum += result.bytes;
    }
    return sum;
  }

  /** Reserves room for the results of a call. */
  reserve(upstreamId: string, bytes: number): void {
    this.used.set(upstreamId, this.getUsedBytes(upstreamId) + bytes);
  }

  /** Gives up room that was reserved and not turned into a result. */
  cancelReservation(upstreamId: string, bytes: number): void {
    this.removeBytes(upstreamId, bytes);
  }

  /** Turns a reservation into a held result. */
  recordResult(handle: string, result: StoredResult): void {
    this.held.set(handle, result);
  }

  /** Returns the upstream that holds a result, if it is known. */
  findUpstreamId(handle: string): string | undefined {
    return this.held.get(handle)?.upstreamId;
  }

  /** Lists the results of which is known who reads them, the oldest first. */
  listOwned(): OwnedResult[] {
    return [...this.held].flatMap(([handle, held]) => {
      const {owner, address, failureDomain} = held;
      return owner ? [{handle, address, failureDomain, owner}] : [];
    });
  }

  /** Notes that a result was released; returns it if it was held. */
  release(handle: string): StoredResult | undefined {
    const result = this.held.get(handle);
    if (!result) return undefined;
    this.held.delete(handle);
    this.removeBytes(result.upstreamId, result.bytes);
    return result;
  }

  /** Forgets the results that their upstreams no longer keep. */
  removeExpired(nowMs: number): void {
    for (const [handle, {expiresAtMs}] of this.held) {
      if (expiresAtMs <= nowMs) this.release(handle);
    }
  }

  /** Forgets everything about an upstream that is gone. */
  removeUpstream(upstreamId: string): void {
    for (const [handle, result] of this.held) {
      if (result.upstreamId === upstreamId) this.held.delete(handle);
    }
    this.used.delete(upstreamId);
  }

  private removeBytes(upstreamId: string, bytes: number): void {
    const left = Math.max(0, this.getUsedBytes(upstreamId) - bytes);
    if (left === 0) this.used.delete(upstreamId);
    else this.used.set(upstreamId, left);
  }
}
