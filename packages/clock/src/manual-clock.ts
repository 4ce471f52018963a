import type {Clock, Timer} from './clock.ts';

interface PendingCallback {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock that stands still until it is advanced; for deterministic tests. */
export class ManualClock implements Clock {
  private nowMs: number;
  private nextOrder = 0;
  private pending: PendingCallback[] = [];

  /** @param startMs Milliseconds since the epoch at which the clock stands. */
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

  /** Moves time on, running each due callback in order and letting promises settle between. */
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

  /** Moves time on as it passes while a process is stopped: nothing runs meanwhile. */
  pause(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /** Moves time on until the promise settles, at most `limitMs`; then rejects. */
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

// One turn of setImmediate runs after every queued microtask, so all promise
// chains that need no timer have come to rest by then.
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
