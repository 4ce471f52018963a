/** Items of one kind in a call. */
export interface CallShare {
  /** Names the stage of a route that the items belong to. */
  readonly stageKey: string;
  readonly itemCount: number;
  /** Milliseconds an item takes by the configuration, which knows the service alone. */
  readonly configuredMs: number;
}

/** Weight of the newest call in what an item takes; some ten calls settle it. */
const LEARNING_RATE = 0.2;
/** Bounds of what is learnt, as factors of the configured time. */
const MIN_FACTOR = 0.1;
/** Upper bound of what is learnt, as a factor of the configured time. */
const MAX_FACTOR = 3;
/** Weight of the newest call in the fill of a service's calls. */
const FILL_WEIGHT = 0.1;
/** Share of a batch that calls are filled to, before anything was learnt. */
const USUAL_FILL = 0.8;

/**
 * What the calls of stages take, learnt from those that were made. The
 * configuration gives one time an item for a service; stages of several routes
 * that share it may take a fraction of that.
 */
export class ServiceTimes {
  private readonly itemMs = new Map<string, number>();
  private readonly fills = new Map<string, number>();

  /** Returns milliseconds that one item of a stage takes. */
  getItemMs(stageKey: string, configuredMs: number): number {
    return this.itemMs.get(stageKey) ?? configuredMs;
  }

  /** Returns the share of a batch that calls of a service are filled to under load. */
  getFill(service: string): number {
    return this.fills.get(service) ?? USUAL_FILL;
  }

  /** Computes milliseconds that the items of a call take. */
  computeItemsMs(shares: readonly CallShare[]): number {
    return shares.reduce(
      (sum, {stageKey, itemCount, configuredMs}) =>
        sum + itemCount * this.getItemMs(stageKey, configuredMs),
      0,
    );
  }

  /**
   * Notes what the items of one call took, its fixed part left out, by a
   * normalized least-mean-squares step.
   *
   * @param itemsMs Milliseconds at an upstream of usual speed.
   */
  recordCall(shares: readonly CallShare[], itemsMs: number): void {
    const error = itemsMs - this.computeItemsMs(shares);
    const norm = shares.reduce(
      (sum, {itemCount}) => sum + itemCount * itemCount,
      0,
    );
    if (norm === 0) return;
    for (const {stageKey, itemCount, configuredMs} of shares) {
      const before = this.getItemMs(stageKey, configuredMs);
      const learnt = before + (LEARNING_RATE * error * itemCount) / norm;
      const least = MIN_FACTOR * configuredMs;
      const most = MAX_FACTOR * configuredMs;
      this.itemMs.set(stageKey, Math.min(most, Math.max(least, learnt)));
    }
  }

  /** Notes how full a call was that left work of its service waiting. */
  recordFill(service: string, fill: number): void {
    const before = this.getFill(service);
    this.fills.set(service, before + (fill - before) * FILL_WEIGHT);
  }
}
