interface HeldResult {
  readonly upstreamId: string;
  readonly bytes: number;
  readonly untilMs: number;
}

/**
 * Accounts for the room that results take at their upstreams: reserved from
 * before their call, held until they are released or run out.
 */
export class ResultRoom {
  private readonly held = new Map<string, HeldResult>();
  private readonly used = new Map<string, number>();

  /** Returns the bytes reserved and held at an upstream. */
  getUsedBytes(upstreamId: string): number {
    return this.used.get(upstreamId) ?? 0;
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
  recordResult(
    handle: string,
    upstreamId: string,
    bytes: number,
    untilMs: number,
  ): void {
    this.held.set(handle, {upstreamId, bytes, untilMs});
  }

  /** Notes that a result was released. */
  release(handle: string): void {
    const result = this.held.get(handle);
    if (!result) return;
    this.held.delete(handle);
    this.removeBytes(result.upstreamId, result.bytes);
  }

  /** Forgets the results that their upstreams no longer keep. */
  removeExpired(nowMs: number): void {
    for (const [handle, {untilMs}] of this.held) {
      if (untilMs <= nowMs) this.release(handle);
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
