import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';

/** The places of an upstream for requests. */
export interface UpstreamPlaces {
  /** Number of requests that it runs at a time. */
  readonly slots: number;
  /**
   * Mean milliseconds for which a request occupies one of them; undefined before this instance
   * got the first answer to a request.
   */
  readonly occupancyMs: number | undefined;
}

/** The requests per second that an upstream can run, as far as that bounds what it gets. */
export type RateJudgement =
  | {readonly type: 'unbounded'}
  /** It is to be bounded, but this instance has no measurement yet. */
  | {readonly type: 'unmeasured'}
  | {readonly type: 'bounded'; readonly perSecond: number};

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
   * Returns an upstream's places; undefined if it registered none, or if the coordinator
   * assigns them.
   */
  readonly findPlaces: (upstream: CalledUpstream) => UpstreamPlaces | undefined;
}

interface KnownTolerance {
  readonly service: string;
  /** Rejections per second; undefined if an answer announced none. */
  readonly perSecond: number | undefined;
  /** When an answer last showed it, in milliseconds of this instance's clock. */
  observedAtMs: number;
}

/** Share of the tolerated rejections that all instances together cause. */
const USED_SHARE = 0.5;
/** Bounds of the pause after a rejection, in milliseconds. */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 10_000;
/** Milliseconds for which the tolerance of an unregistered upstream is kept. */
const UNREGISTERED_RETENTION_MS = 10_000;
/** Makes up for a part of the margin that granted sends keep below a limit. */
const RATE_FACTOR = 1.1;
/** Relative change from which on a newly computed rate replaces the one in use. */
const MIN_RATE_CHANGE = 0.25;

/**
 * Upstreams that announce how many rejections per second they bear before they fail, and how
 * they are used so that they reject less. Until the first answer of an upstream, the lowest
 * tolerance of its service applies to it.
 */
export class ToleranceTable {
  private readonly parts: ToleranceTableParts;
  private readonly known = new Map<string, KnownTolerance>();
  /** Service of each registered upstream. */
  private services = new Map<string, string>();
  private lowestByService = new Map<string, number>();

  constructor(parts: ToleranceTableParts) {
    this.parts = parts;
  }

  /** Returns whether a tolerance applies to an upstream. */
  isBrittle(id: string): boolean {
    return this.findTolerance(id) !== undefined;
  }

  /**
   * Returns how many requests a brittle upstream runs at a time; undefined for any other one,
   * and if the coordinator assigns its places.
   */
  findPlaces(upstream: CalledUpstream): number | undefined {
    if (!this.isBrittle(upstream.id)) return undefined;
    return this.parts.findPlaces(upstream)?.slots;
  }

  /** Records the tolerance in an answer, in rejections per second. */
  recordTolerance(
    upstream: CalledUpstream,
    perSecond: number,
    requestId: string | undefined,
  ): void {
    const {id, service} = upstream;
    const observedAtMs = this.parts.clock.getNow();
    const before = this.known.get(id);
    if (before?.perSecond === perSecond) {
      before.observedAtMs = observedAtMs;
      return;
    }
    this.setKnown(id, {service, perSecond, observedAtMs});
    this.parts.logger.logEvent('upstream.brittle', {
      upstream: id,
      service,
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
    const before = this.known.get(id);
    const isEnded = before !== undefined && before.perSecond === undefined;
    if (isEnded || (before && sentAtMs < before.observedAtMs)) return;
    const observedAtMs = this.parts.clock.getNow();
    this.setKnown(id, {service, perSecond: undefined, observedAtMs});
    if (!before) return;
    this.parts.logger.logEvent('upstream.brittle-ended', {
      upstream: id,
      service,
      before: before.perSecond,
      requestId,
    });
  }

  /** Moves the tolerance of a restarted upstream to its new incarnation. */
  replaceIncarnation(before: string, after: string): void {
    const known = this.known.get(before);
    if (known && !this.known.has(after)) this.setKnown(after, known);
  }

  /**
   * Judges how many requests per second an upstream can run. Instances measure a little
   * differently, and each change is announced to all of them, so a rate that is in use and not
   * far off stays.
   *
   * @param inUse Rate that is in use; undefined if there is none.
   */
  judgeRate(
    upstream: CalledUpstream,
    inUse: number | undefined,
  ): RateJudgement {
    const places = this.parts.findPlaces(upstream);
    if (!this.isBrittle(upstream.id) || !places) return {type: 'unbounded'};
    const {slots, occupancyMs} = places;
    if (occupancyMs === undefined) return {type: 'unmeasured'};
    const rate = (RATE_FACTOR * slots * 1000) / Math.max(1, occupancyMs);
    const change = Math.abs(rate - (inUse ?? 0)) / rate;
    const isClose = inUse !== undefined && change < MIN_RATE_CHANGE;
    return {type: 'bounded', perSecond: isClose ? inUse : rate};
  }

  /**
   * Computes for how many milliseconds this instance sends nothing to an upstream that has
   * rejected a request, so that the rejections of all instances stay below its tolerance;
   * undefined if it announces none.
   */
  computePauseMs(id: string): number | undefined {
    const perSecond = this.findTolerance(id);
    if (perSecond === undefined) return undefined;
    const {getInstanceCount, random} = this.parts;
    const shareMs =
      (1000 * getInstanceCount()) / (USED_SHARE * Math.max(1, perSecond));
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, shareMs));
    return pauseMs * (0.75 + 0.5 * random());
  }

  /** Sets the registered upstreams; drops the state of others after a while. */
  setUpstreams(records: readonly CalledUpstream[]): void {
    this.services = new Map(records.map(({id, service}) => [id, service]));
    const oldestMs = this.parts.clock.getNow() - UNREGISTERED_RETENTION_MS;
    for (const [id, {observedAtMs}] of this.known) {
      if (!this.services.has(id) && observedAtMs < oldestMs) {
        this.known.delete(id);
      }
    }
    this.refreshLowest();
  }

  private findTolerance(id: string): number | undefined {
    const known = this.known.get(id);
    if (known) return known.perSecond;
    const service = this.services.get(id);
    return service === undefined
      ? undefined
      : this.lowestByService.get(service);
  }

  private setKnown(id: string, known: KnownTolerance): void {
    this.known.set(id, known);
    this.refreshLowest();
  }

  private refreshLowest(): void {
    this.lowestByService = new Map();
    for (const {service, perSecond} of this.known.values()) {
      if (perSecond === undefined) continue;
      const lowest = this.lowestByService.get(service) ?? Infinity;
      this.lowestByService.set(service, Math.min(lowest, perSecond));
    }
  }
}
