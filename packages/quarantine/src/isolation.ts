import {waitFor, type Clock} from '@hollowstack/clock';

/** Maximum time that an attempt waits for the previous one. */
const MAX_WAIT_MS = 1000;

/**
 * Serializes the attempts of each service that may crash their upstream, so that a crash
 * can be attributed to one request.
 */
export class IsolatedAttempts {
  private readonly clock: Clock;
  private readonly latest = new Map<string, Promise<void>>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Waits until the attempt may begin: when the previous one has ended, or after the
   * maximum wait.
   *
   * @returns Function that ends the attempt.
   * @throws The signal's reason if it is aborted during the wait.
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
      // A streamed response may take long; later attempts must not wait for its end.
      await Promise.race([previous, waitFor(this.clock, MAX_WAIT_MS, signal)]);
      return release;
    } catch (error) {
      release();
      throw error;
    }
  }
}
