/** Ids kept of upstreams that were seen leaving; the oldest give way. */
const MAX_IDS = 10_000;

/**
 * The ids of upstreams that leave or have left. An id names one life of an upstream,
 * and a life that has begun to leave never takes work again.
 */
export class LeavingIds {
  private readonly ids = new Set<string>();
  /** When an answer said it first, in milliseconds of this instance's clock. */
  private readonly selfReportedAtMs = new Map<string, number>();

  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Returns whether an answer of the upstream said it, here or at a peer. */
  isSelfReported(id: string): boolean {
    return this.selfReportedAtMs.has(id);
  }

  /** Returns when an answer of the upstream said it, if one did. */
  getSelfReportedAtMs(id: string): number | undefined {
    return this.selfReportedAtMs.get(id);
  }

  /** Notes that the registration of an upstream says that it leaves. */
  addRegistered(id: string): void {
    this.ids.add(id);
    if (this.ids.size <= MAX_IDS) return;
    const [oldest] = this.ids;
    this.ids.delete(oldest);
    this.selfReportedAtMs.delete(oldest);
  }

  /** Notes that an answer of an upstream says that it leaves. */
  addSelfReported(id: string, nowMs: number): void {
    this.selfReportedAtMs.set(id, nowMs);
    this.addRegistered(id);
  }
}
