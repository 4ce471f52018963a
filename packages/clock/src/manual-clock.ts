import type {Clock, Timer} from './clock.ts';

interface PendingCallback {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock that only advances on request; for deterministic tests. */
export class ManualClock implements Clock {
  private nowMs: number;
  private nextOrder = 0;
  private pending: PendingCallback[] = [];

  /** @param startMs Initial time in milliseconds since the epoch. */
  constructor(startMs = 1_800_000_000_000) {
    this.nowMs = startMs;
  }

  getNow(): number {
    return this.nowMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const entry: PendingCallback = {
      dueMs: this.nowMs + Math.max(0, delayMs),
      order: this.nextOrder++,
      callback,
    };
    this.addPending(entry);
    return {cancel: () => this.removePending(entry)};
  }

  /** Advances the time, runs each due callback in order and lets promises settle after each one. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    await settlePromises();
    while (this.pending.length > 0 && this.pending[0].dueMs <= endMs) {
      const next = this.pending.shift()!;
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.callback();
      await settlePromises();
    }
    this.nowMs = endMs;
  }

  /** Advances the time without running callbacks, as if the process were stopped. */
  pause(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /**
   * Advances the time until the promise settles.
   *
   * @throws Error if the promise has not settled after `limitMs` milliseconds.
   */
  async advanceUntil<T>(promise: Promise<T>, limitMs: number): Promise<T> {
    let isSettled = false;
    const markSettled = () => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    const endMs = this.nowMs + limitMs;
    await settlePromises();
    while (!isSettled && this.pending.length > 0) {
      if (this.pending[0].dueMs > endMs) break;
      await this.advance(this.pending[0].dueMs - this.nowMs);
    }
    if (!isSettled) {
      throw new Error(`not settled after ${limitMs} ms of manual time`);
    }
    return promise;
  }

  private addPending(entry: PendingCallback): void {
    let low = 0;
    let high = this.pending.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.pending[middle].dueMs <= entry.dueMs) low = middle + 1;
      else high = middle;
    }
    this.pending.splice(low, 0, entry);
  }

  private removePending(entry: PendingCallback): void {
    const index = this.pending.indexOf(entry);
    if (index >= 0) this.pending.splice(index, 1);
  }
}

// A setImmediate callback runs after every queued microtask, so all promise
// chains that need no timer have settled by then.
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
