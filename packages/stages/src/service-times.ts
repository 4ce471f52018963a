/** Items of one kind in a call. */
export interface CallShare {
  /** Names the stage of a route that the items belong to. */
  readonly stageKey: string;
  readonly itemCount: number;
  /** Milliseconds an item takes by the configuration, which knows the service alone. */
  readonly configuredMs: number;
}

/** A call whose time was seen. */
export interface TimedCall {
  readonly service: string;
  /** Most items that a call of the service can have. */
  readonly batchSize: number;
  readonly shares: readonly CallShare[];
  /** Milliseconds that it was expected to take. */
  readonly expectedMs: number;
  /** Milliseconds that it took, or would have at an upstream of usual speed. */
  readonly tookMs: number;
}

/** Weight of the newest call in what calls and items take; some ten calls settle it. */
const LEARNING_RATE = 0.2;
/** Bounds of what is learnt, as factors of the configured time. */
const MIN_FACTOR = 0.1;
/** Upper bound of what is learnt, as a factor of the configured time. */
const MAX_FACTOR = 3;
/**
 * Most milliseconds by which the fixed part of calls differs from the configured one:
 * connections, round trips and waits for the processor, not work.
 */
const MAX_OVERHEAD_MS = 100;
/**
 * Weight of the fixed part of a call against the items of a full one when an error is
 * parted: what is not known of it is some tens of milliseconds, of the items hundreds.
 */
const OVERHEAD_WEIGHT = 0.1;
/** Weight of the newest call in the fill of a service's calls. */
const FILL_WEIGHT = 0.1;
/** Share of a batch that calls are filled to, before anything was learnt. */
const USUAL_FILL = 0.8;

/**
 * What the calls of stages take, learnt from those that were made. The
 * configuration gives one time an item for a service; stages of several routes
 * that share it may take a fraction of that, and each call has some time of its own.
 */
export class ServiceTimes {
  private readonly itemMs = new Map<string, number>();
  private readonly overheadMs = new Map<string, number>();
  private readonly fills = new Map<string, number>();

  /** Returns milliseconds that a call of a service takes beside its items. */
  getCallMs(service: string, configuredMs: number): number {
    return configuredMs + (this.overheadMs.get(service) ?? 0);
  }

  /** Returns milliseconds that one item of a stage takes. */
  getItemMs(stageKey: string, configuredMs: number): number {
    return this.itemMs.get(stageKey) ?? configuredMs;
  }

  /** Returns the share of a batch that calls of a service are filled to under load. */
  getFillRatio(service: string): number {
    return this.fills.get(service) ?? USUAL_FILL;
  }

  /** Computes milliseconds that the items of a call take. */
  computePiecesMs(shares: readonly CallShare[]): number {
    return shares.reduce(
      (sum, {stageKey, itemCount, configuredMs}) =>
        sum + itemCount * this.getItemMs(stageKey, configuredMs),
      0,
    );
  }

  /**
   * Notes what one call took, by a normalized least-mean-squares step over its fixed
   * part and its items. Items count by their share of a full call: a call of one item
   * says next to nothing of items, and its few milliseconds of its own, taken for its
   * item's, made full calls look 1.4 times as long as they were.
   */
  recordCall({
    service,
    batchSize,
    shares,
    expectedMs,
    tookMs,
  }: TimedCall): void {
    const fills = shares.map(({itemCount}) => itemCount / batchSize);
    const norm = fills.reduce(
      (sum, fill) => sum + fill * fill,
      OVERHEAD_WEIGHT,
    );
    const stepMs = (LEARNING_RATE * (tookMs - expectedMs)) / norm;
    const overheadMs =
      (this.overheadMs.get(service) ?? 0) + stepMs * OVERHEAD_WEIGHT;
    this.overheadMs.set(
      service,
      Math.min(MAX_OVERHEAD_MS, Math.max(-MAX_OVERHEAD_MS, overheadMs)),
    );
    shares.forEach(({stageKey, configuredMs}, index) => {
      const before = this.getItemMs(stageKey, configuredMs);
      const learnt = before + (stepMs * fills[index]) / batchSize;
      const least = MIN_FACTOR * configuredMs;
      const most = MAX_FACTOR * configuredMs;
      this.itemMs.set(stageKey, Math.min(most, Math.max(least, learnt)));
    });
  }

  /** Notes how full a call was that left work of its service waiting. */
  recordFillRatio(service: string, fill: number): void {
    const before = this.getFillRatio(service);
    this.fills.set(service, before + (fill - before) * FILL_WEIGHT);
  }
}
