import {waitFor, type Clock} from '@hollowstack/clock';

/** Milliseconds for which an attempt waits for the one before it, at most. */
const MAX_WAIT_MS = 1000;

/**
 * Lets attempts that may crash their upstream run one at a time for each service, so that
 * a crash shows which request was its cause.
 */
export class IsolatedAttempts {
  private readonly clock: Clock;
  private readonly latest = new Map<string, Promise<void>>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Waits until the attempt may begin.
   *
   * @returns Ends the attempt.
   * @throws The signal's reason once it is aborted.
   */
  async acquire(service: string, signal: AbortSignal): Promise<() => void> {
    const previous = this.latest.get(service);
    const {promise, resolve} = Promise.withResolvers<void>();
    this.latest.set(service, promise);
    const release = () => {
      resolve();
      if (this.latest.get(service) === promise) this.latest.delete(service);
    };
    if (!previous) return release;
    try {
      // A stream may take long; others must not wait for its end.
      await Promise.race([previous, waitFor(this.clock, MAX_WAIT_MS, signal)]);
      return release;
    } catch (error) {
      release();
      throw error;
    }
  }
}
