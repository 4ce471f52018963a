/** The pieces of one stage in a call. */
export interface CallShare {
  /** Identifies the route and stage of the pieces. */
  readonly stageKey: string;
  readonly pieceCount: number;
  /**
   * Configured milliseconds per piece; the configuration sets one value for each service.
   */
  readonly configuredMs: number;
}

/** A completed call with its duration. */
export interface TimedCall {
  readonly service: string;
  /** Maximum pieces in a call of the service. */
  readonly batchSize: number;
  readonly shares: readonly CallShare[];
  /** Predicted duration of the call. */
  readonly expectedMs: number;
  /** Duration of the call, scaled to an upstream of median speed. */
  readonly tookMs: number;
}

/** Weight of the newest call in the learned durations; they converge in about ten calls. */
const LEARNING_RATE = 0.2;
/** Lower bound of the learned duration of a piece, as a factor of the configured one. */
const MIN_FACTOR = 0.1;
/** Upper bound of the learned duration of a piece, as a factor of the configured one. */
const MAX_FACTOR = 3;
/**
 * Maximum difference between the learned and the configured fixed duration of a call. It
 * covers connections, round trips and scheduling delays, not work.
 */
const MAX_OVERHEAD_MS = 100;
/**
 * Weight of the fixed duration of a call, relative to the pieces of a full call, when a
 * prediction error is attributed: the fixed part is uncertain by tens of milliseconds, the
 * pieces by hundreds.
 */
const OVERHEAD_WEIGHT = 0.1;
/** Weight of the newest call in the fill ratio of a service. */
const FILL_RATIO_WEIGHT = 0.1;
/** Assumed fill ratio until calls under load have been recorded. */
const DEFAULT_FILL_RATIO = 0.8;

/**
 * Durations of stage calls, learned from completed calls. The configuration gives one duration
 * per piece for each service, but stages of several routes that share a service may take a
 * fraction of it, and each call has a fixed duration as well.
 */
export class ServiceTimes {
  private readonly pieceMs = new Map<string, number>();
  private readonly overheadMs = new Map<string, number>();
  private readonly fillRatios = new Map<string, number>();

  /** Returns the fixed milliseconds of a call, in addition to those of its pieces. */
  getCallMs(service: string, configuredMs: number): number {
    return configuredMs + (this.overheadMs.get(service) ?? 0);
  }

  /** Returns the milliseconds of one piece of a stage. */
  getPieceMs(stageKey: string, configuredMs: number): number {
    return this.pieceMs.get(stageKey) ?? configuredMs;
  }

  /**
   * Returns the mean ratio of pieces to the batch size in calls of a service under load.
   */
  getFillRatio(service: string): number {
    return this.fillRatios.get(service) ?? DEFAULT_FILL_RATIO;
  }

  /** Computes the milliseconds of all pieces of a call, without its fixed duration. */
  computePiecesMs(shares: readonly CallShare[]): number {
    return shares.reduce(
      (sum, {stageKey, pieceCount, configuredMs}) =>
        sum + pieceCount * this.getPieceMs(stageKey, configuredMs),
      0,
    );
  }

  /**
   * Learns from one call by a normalized least-mean-squares step over its fixed duration and
   * its pieces. Pieces are weighted by their share of a full call: a call with one piece
   * reveals little about the duration of pieces, and when its fixed overhead was attributed
   * to the piece, predictions for full calls were 1.4 times too long.
   */
  recordCall({
    service,
    batchSize,
    shares,
    expectedMs,
    tookMs,
  }: TimedCall): void {
    const fillRatios = shares.map(({pieceCount}) => pieceCount / batchSize);
    const norm = fillRatios.reduce(
      (sum, fillRatio) => sum + fillRatio * fillRatio,
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
      const before = this.getPieceMs(stageKey, configuredMs);
      const learnedMs = before + (stepMs * fillRatios[index]) / batchSize;
      const minMs = MIN_FACTOR * configuredMs;
      const maxMs = MAX_FACTOR * configuredMs;
      this.pieceMs.set(stageKey, Math.min(maxMs, Math.max(minMs, learnedMs)));
    });
  }

  /** Records the fill ratio of a call that left at least a full batch waiting. */
  recordFillRatio(service: string, fillRatio: number): void {
    const before = this.getFillRatio(service);
    this.fillRatios.set(
      service,
      before + (fillRatio - before) * FILL_RATIO_WEIGHT,
    );
  }
}
