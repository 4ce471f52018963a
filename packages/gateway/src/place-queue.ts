import {addAbortHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock} from '@hollowstack/clock';

/** Dependencies of PlaceQueue. */
export interface PlaceQueueParts {
  readonly clock: Clock;
  /**
   * Returns how many requests an upstream runs at a time if it must not be sent more;
   * undefined if it may.
   */
  readonly findPlaces: (upstreamId: string) => number | undefined;
}

interface UsedPlaces {
  count: number;
  /** Resolvers of the requests that wait for a place, in order of arrival. */
  readonly waiting: Array<() => void>;
}

/** Milliseconds for which a request waits for a place. */
const MAX_WAIT_MS = 200;

/**
 * Counts the requests that this instance has at each upstream, so that it sends no request
 * that a brittle upstream rejects for want of a place that this instance itself has taken.
 */
export class PlaceQueue {
  private readonly parts: PlaceQueueParts;
  private readonly used = new Map<string, UsedPlaces>();

  constructor(parts: PlaceQueueParts) {
    this.parts = parts;
  }

  /**
   * Takes a place of an upstream; waits for one, in order of arrival, if all are taken.
   *
   * @returns Whether a place was taken in time; the caller releases it.
   */
  async acquire(upstreamId: string, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    const used = this.used.get(upstreamId) ?? {count: 0, waiting: []};
    this.used.set(upstreamId, used);
    if (this.isFull(upstreamId, used)) {
      const isFreed = await this.waitForPlace(used, signal);
      // The place of the request that has ended was passed on.
      if (isFreed) return true;
      this.removeUnused(upstreamId, used);
      return false;
    }
    used.count += 1;
    return true;
  }

  /** Releases a place that was taken. */
  release(upstreamId: string): void {
    const used = this.used.get(upstreamId);
    if (!used) return;
    const resolveNext = used.waiting.shift();
    if (resolveNext) {
      resolveNext();
      return;
    }
    used.count -= 1;
    this.removeUnused(upstreamId, used);
  }

  private isFull(upstreamId: string, {count}: UsedPlaces): boolean {
    const places = this.parts.findPlaces(upstreamId);
    return places !== undefined && count >= places;
  }

  private waitForPlace(
    {waiting}: UsedPlaces,
    signal: AbortSignal,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const finish = (isFreed: boolean) => {
        timer.cancel();
        removeAbortHandler();
        resolve(isFreed);
      };
      const resolveFreed = () => finish(true);
      const abandon = () => {
        const index = waiting.indexOf(resolveFreed);
        if (index < 0) return;
        waiting.splice(index, 1);
        finish(false);
      };
      const timer = scheduleTimeout(this.parts.clock, MAX_WAIT_MS, abandon);
      waiting.push(resolveFreed);
      const removeAbortHandler = addAbortHandler(signal, abandon);
    });
  }

  private removeUnused(upstreamId: string, used: UsedPlaces): void {
    if (used.count > 0 || used.waiting.length > 0) return;
    this.used.delete(upstreamId);
  }
}
