import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';

/** The places of an upstream for requests. */
export interface UpstreamPlaces {
  /** Number of requests that it runs at a time. */
  readonly slots: number;
  /** Mean milliseconds for which a request occupies one of them. */
  readonly occupancyMs: number;
}

/** An upstream that is called. */
export interface CalledUpstream {
  readonly id: string;
  readonly service: string;
}

/** Dependencies of ToleranceTable. */
export interface ToleranceTableParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  /** Returns the number of live instances. */
  readonly getInstanceCount: () => number;
  /**
   * Returns an upstream's places; undefined before the first answer to a request, or if the
   * coordinator limits how many it gets.
   */
  readonly findPlaces: (upstream: CalledUpstream) => UpstreamPlaces | undefined;
}

interface KnownTolerance {
  readonly perSecond: number;
  /** When an answer last announced it, in milliseconds of this instance's clock. */
  observedAtMs: number;
}

/** Share of the tolerated rejections that all instances together cause. */
const USED_SHARE = 0.5;
/** Bounds of the pause after a rejection, in milliseconds. */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 10_000;
/** Makes up for a part of the margin that granted sends keep below a limit. */
const RATE_FACTOR = 1.1;
/** Relative change from which on a newly computed rate replaces the one in use. */
const MIN_RATE_CHANGE = 0.25;

/**
 * Upstreams that announce how many rejections per second they bear before they fail, and how
 * they are used so that they reject less.
 */
export class ToleranceTable {
  private readonly parts: ToleranceTableParts;
  private readonly known = new Map<string, KnownTolerance>();

  constructor(parts: ToleranceTableParts) {
    this.parts = parts;
  }

  /** Returns whether an upstream announces a tolerance. */
  isBrittle(id: string): boolean {
    return this.known.has(id);
  }

  /** Records the tolerance in an answer, in rejections per second. */
  recordTolerance(
    upstream: CalledUpstream,
    perSecond: number,
    requestId: string | undefined,
  ): void {
    const observedAtMs = this.parts.clock.getNow();
    const before = this.known.get(upstream.id);
    if (before?.perSecond === perSecond) {
      before.observedAtMs = observedAtMs;
      return;
    }
    this.known.set(upstream.id, {perSecond, observedAtMs});
    this.parts.logger.logEvent('upstream.brittle', {
      upstream: upstream.id,
      service: upstream.service,
      perSecond,
      before: before?.perSecond,
      requestId,
    });
  }

  /**
   * Records that an answer announces no tolerance. An answer to a request that was sent before
   * the last announcement may be older than that.
   */
  recordNoTolerance(
    {id, service}: CalledUpstream,
    sentAtMs: number,
    requestId: string | undefined,
  ): void {
    const known = this.known.get(id);
    if (!known || sentAtMs < known.observedAtMs) return;
    this.known.delete(id);
    this.parts.logger.logEvent('upstream.brittle-ended', {
      upstream: id,
      service,
      before: known.perSecond,
      requestId,
    });
  }

  /**
   * Computes the requests per second that a brittle upstream can run; undefined if that is not
   * known. Instances measure a little differently, and each change is announced to all of them,
   * so a rate that is in use and not far off stays.
   *
   * @param inUse Rate that is in use; undefined if there is none.
   */
  computeRate(
    upstream: CalledUpstream,
    inUse: number | undefined,
  ): number | undefined {
    const places = this.parts.findPlaces(upstream);
    if (!this.isBrittle(upstream.id) || !places) return undefined;
    const {slots, occupancyMs} = places;
    const rate = (RATE_FACTOR * slots * 1000) / Math.max(1, occupancyMs);
    const change = Math.abs(rate - (inUse ?? 0)) / rate;
    return change < MIN_RATE_CHANGE ? inUse : rate;
  }

  /**
   * Computes for how many milliseconds this instance sends nothing to an upstream that has
   * rejected a request, so that the rejections of all instances stay below its tolerance;
   * undefined if it announces none.
   */
  computePauseMs(id: string): number | undefined {
    const known = this.known.get(id);
    if (!known) return undefined;
    const {getInstanceCount, random} = this.parts;
    const shareMs =
      (1000 * getInstanceCount()) / (USED_SHARE * Math.max(1, known.perSecond));
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, shareMs));
    return pauseMs * (0.75 + 0.5 * random());
  }

  /** Drops the state of unregistered upstreams. */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    const registered = new Set(records.map(({id}) => id));
    for (const id of this.known.keys()) {
      if (!registered.has(id)) this.known.delete(id);
    }
  }
}
