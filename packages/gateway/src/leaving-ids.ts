/** Maximum number of remembered ids; the oldest are evicted first. */
const MAX_IDS = 10_000;

/**
 * The ids of upstreams that leave or have left. An id names one incarnation of an upstream,
 * and an incarnation that has begun to leave never takes work again.
 */
export class LeavingIds {
  private readonly ids = new Set<string>();
  /** When each self-report arrived, in milliseconds of this instance's clock. */
  private readonly selfReportedAtMs = new Map<string, number>();

  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Returns when this instance learned of the self-report; undefined if there is none. */
  getSelfReportedAtMs(id: string): number | undefined {
    return this.selfReportedAtMs.get(id);
  }

  /** Records that the registration of an upstream marks it as leaving. */
  addRegistered(id: string): void {
    this.ids.add(id);
    if (this.ids.size <= MAX_IDS) return;
    const [oldest] = this.ids;
    this.ids.delete(oldest);
    this.selfReportedAtMs.delete(oldest);
  }

  /** Records that an answer of an upstream reported that it leaves. */
  addSelfReported(id: string, nowMs: number): void {
    this.selfReportedAtMs.set(id, nowMs);
    this.addRegistered(id);
  }
}
