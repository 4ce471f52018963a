import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {LimitReport} from '@hollowstack/types';

/** An answer of an upstream and when its request was sent. */
export interface LimitAnswer {
  readonly upstream: {readonly id: string; readonly service: string};
  /** Id of the request that was answered; undefined if the call served none. */
  readonly requestId: string | undefined;
  /** In milliseconds of this instance's clock. */
  readonly sentAtMs: number;
}

/** Dependencies of LimitTable. */
export interface LimitTableParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly logger: EventLogger;
}

interface KnownLimit {
  readonly service: string;
  /** Requests per second; undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** When an answer last confirmed this state, in milliseconds of this instance's clock. */
  readonly observedAtMs: number;
}

/** Bounds the memory of the table. */
const MAX_UPSTREAMS = 1024;
/** Bounds the size of a message to a peer to a few kilobytes. */
const MAX_REPORTS = 64;
/** Milliseconds for which the limit of an unregistered upstream is kept. */
const UNREGISTERED_RETENTION_MS = 10_000;
/** Milliseconds for which the end of a limit is reported to peers. */
const ENDED_REPORT_MS = 30_000;
/**
 * Milliseconds by which a peer's report must be newer than the local entry to replace it.
 * The age in a report excludes transit time, so reports appear newer than they are.
 */
const MIN_NEWER_MS = 300;

/** Rate limits that upstreams advertise, merged from local answers and peer reports. */
export class LimitTable {
  private readonly parts: LimitTableParts;
  private readonly limits = new Map<string, KnownLimit>();
  private readonly changeListeners: Array<() => void> = [];

  constructor(parts: LimitTableParts) {
    this.parts = parts;
  }

  /** Adds a listener that is called when a limit is set, changes or ends. */
  addChangeListener(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  /** Returns an upstream's limit in requests per second; undefined if it has none. */
  getLimit(id: string): number | undefined {
    return this.limits.get(id)?.perSecond;
  }

  /** Counts the limits that have not ended. */
  countLimited(): number {
    return this.listLimited().length;
  }

  /** Records the limit that an answer advertises. */
  recordLimit({upstream, requestId}: LimitAnswer, perSecond: number): void {
    const observedAtMs = this.parts.clock.getNow();
    const {id, service} = upstream;
    this.setLimit(id, {service, perSecond, observedAtMs}, {requestId});
  }

  /**
   * Records a limit for an upstream that has not answered yet. Any answer of it, and any report
   * on one, replaces that limit.
   */
  recordAssumedLimit(
    {id, service}: LimitAnswer['upstream'],
    perSecond: number,
  ): void {
    this.setLimit(
      id,
      {service, perSecond, observedAtMs: 0},
      {source: 'service'},
    );
  }

  /**
   * Records that an answer advertises no limit. If its request was sent before the limit
   * was last observed, the answer may predate the limit and does not end it.
   */
  recordNoLimit({upstream, requestId, sentAtMs}: LimitAnswer): void {
    const known = this.limits.get(upstream.id);
    if (known?.perSecond === undefined || sentAtMs < known.observedAtMs) return;
    const observedAtMs = this.parts.clock.getNow();
    const {id, service} = upstream;
    this.setLimit(
      id,
      {service, perSecond: undefined, observedAtMs},
      {requestId},
    );
  }

  /** Merges the reports of a peer; the most recent observation of an upstream wins. */
  applyReports(reports: readonly LimitReport[], source: string): void {
    const nowMs = this.parts.clock.getNow();
    for (const {upstream, service, perSecond, ageMs} of reports) {
      const observedAtMs = nowMs - ageMs;
      const known = this.limits.get(upstream);
      if (known && observedAtMs <= known.observedAtMs + MIN_NEWER_MS) continue;
      if (!known && perSecond === undefined) continue;
      this.setLimit(upstream, {service, perSecond, observedAtMs}, {source});
    }
  }

  /** Lists the limits and recent ends to report to peers, most recent first. */
  listReports(): LimitReport[] {
    return this.listKnown()
      .filter(
        ({perSecond, ageMs}) =>
          perSecond !== undefined || ageMs < ENDED_REPORT_MS,
      )
      .sort((left, right) => left.ageMs - right.ageMs)
      .slice(0, MAX_REPORTS);
  }

  /** Lists the reports on the given upstreams, including ended limits. */
  listReportsOf(ids: readonly string[]): LimitReport[] {
    return this.listKnown().filter(({upstream}) => ids.includes(upstream));
  }

  /** Lists the reports of limits that have not ended. */
  listLimited(): LimitReport[] {
    return this.listKnown().filter(({perSecond}) => perSecond !== undefined);
  }

  /**
   * Moves a limit to the new incarnation of a restarted upstream if it was observed after
   * the restart, and drops it otherwise.
   *
   * @param startedAtMs When the new incarnation started, in Unix milliseconds.
   */
  replaceIncarnation(before: string, after: string, startedAtMs: number): void {
    const known = this.limits.get(before);
    if (!known) return;
    this.limits.delete(before);
    if (known.observedAtMs < startedAtMs || this.limits.has(after)) return;
    this.limits.set(after, known);
  }

  /**
   * Drops the limits of unregistered upstreams. Recent ones are kept because a peer may
   * report a limit before this instance learns of the registration.
   */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    const registeredIds = new Set(records.map(({id}) => id));
    const oldestMs = this.parts.clock.getNow() - UNREGISTERED_RETENTION_MS;
    for (const [id, {observedAtMs}] of this.limits) {
      if (!registeredIds.has(id) && observedAtMs < oldestMs) {
        this.limits.delete(id);
      }
    }
  }

  private listKnown(): LimitReport[] {
    const nowMs = this.parts.clock.getNow();
    return [...this.limits].map(
      ([upstream, {service, perSecond, observedAtMs}]) => ({
        upstream,
        service,
        perSecond,
        ageMs: Math.max(0, nowMs - observedAtMs),
      }),
    );
  }

  private setLimit(
    id: string,
    next: KnownLimit,
    origin: {readonly source?: string; readonly requestId?: string},
  ): void {
    const before = this.limits.get(id)?.perSecond;
    this.limits.delete(id);
    this.limits.set(id, next);
    if (this.limits.size > MAX_UPSTREAMS) {
      const [oldest] = this.limits.keys();
      this.limits.delete(oldest);
    }
    if (next.perSecond === before) return;
    const {service, perSecond} = next;
    const fields = {upstream: id, service, before, source: 'answer', ...origin};
    if (perSecond === undefined) {
      this.parts.logger.logEvent('upstream.limit-ended', fields);
    } else {
      const limited = {...fields, perSecond};
      this.parts.logger.logEvent('upstream.limited', limited);
    }
    for (const listener of this.changeListeners) listener();
  }
}
