import {computeFallbackRate} from './limit-rates.ts';

/** Dependencies of FallbackShare. */
export interface FallbackShareParts {
  readonly getNow: () => number;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  /** Returns the number of live instances. */
  readonly getInstanceCount: () => number;
}

/**
 * Milliseconds after which an unused send expires. Without expiry, all instances would
 * send at the same moment when the coordinator becomes unreachable.
 */
const DUE_WINDOW_MS = 500;

/** This instance's share of the rate limits while no coordinator is reachable. */
export class FallbackShare {
  private readonly parts: FallbackShareParts;
  private readonly dueAtMs = new Map<string, number>();

  constructor(parts: FallbackShareParts) {
    this.parts = parts;
  }

  /** Returns whether this instance may send to an upstream now. */
  maySend(upstreamId: string, limit: number): boolean {
    const nowMs = this.parts.getNow();
    const intervalMs = this.computeIntervalMs(limit);
    let dueAtMs = this.dueAtMs.get(upstreamId);
    if (dueAtMs === undefined || nowMs > dueAtMs + DUE_WINDOW_MS) {
      dueAtMs = nowMs + this.parts.random() * intervalMs;
      this.dueAtMs.set(upstreamId, dueAtMs);
    }
    return nowMs >= dueAtMs;
  }

  /** Uses up a send if one is due; returns whether it was. */
  acquireSend(upstreamId: string, limit: number): boolean {
    if (!this.maySend(upstreamId, limit)) return false;
    const nextAtMs = this.parts.getNow() + this.computeIntervalMs(limit);
    this.dueAtMs.set(upstreamId, nextAtMs);
    return true;
  }

  /** Drops the state of unregistered upstreams. */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    const registeredIds = new Set(records.map(({id}) => id));
    for (const id of this.dueAtMs.keys()) {
      if (!registeredIds.has(id)) this.dueAtMs.delete(id);
    }
  }

  private computeIntervalMs(limit: number): number {
    const instances = Math.max(1, this.parts.getInstanceCount());
    return (1000 * instances) / computeFallbackRate(limit);
  }
}
