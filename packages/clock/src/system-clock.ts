import type {Clock, Timer} from './clock.ts';

/**
 * The machine's clock. It starts from the wall clock and then advances with the
 * monotonic one, so that a step of the wall clock never shortens a lease.
 */
export class SystemClock implements Clock {
  private readonly origin = Date.now() - performance.now();

  getNow(): number {
    return this.origin + performance.now();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(handle)};
  }
}
