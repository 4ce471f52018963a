/** Ids kept of upstreams that were seen leaving; the oldest give way. */
const MAX_IDS = 10_000;

/**
 * The ids of upstreams that leave or have left. An id names one life of an upstream,
 * and a life that has begun to leave never takes work again.
 */
export class LeavingIds {
  private readonly ids = new Set<string>();
  private readonly toldIds = new Set<string>();

  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Returns whether an answer of the upstream said it, here or at a peer. */
  isTold(id: string): boolean {
    return this.toldIds.has(id);
  }

  /** Notes that the registration of an upstream says that it leaves. */
  addRegistered(id: string): void {
    this.ids.add(id);
    if (this.ids.size <= MAX_IDS) return;
    const [oldest] = this.ids;
    this.ids.delete(oldest);
    this.toldIds.delete(oldest);
  }

  /** Notes that an answer of an upstream says that it leaves. */
  addTold(id: string): void {
    this.toldIds.add(id);
    this.addRegistered(id);
  }
}
