import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';

/**
 * Exclusive upper bound of the revisions in one era. A store that is restored from a backup
 * begins a new era and reuses revisions; era and revision together are monotonic.
 */
const REVISIONS_PER_ERA = 2 ** 40;
/** Number of distinct eras; keeps joined revisions within the safe integers. */
const ERA_COUNT = 2 ** 12;

/** Combines an era and a revision in it into one monotonic number. */
export function joinEraRevision(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Splits a joined revision into the era and the store's own revision. */
export function splitEraRevision(joined: number): {
  era: number;
  revision: number;
} {
  const era = Math.floor(joined / REVISIONS_PER_ERA);
  return {era, revision: joined - era * REVISIONS_PER_ERA};
}

/**
 * Parses the text of an era; returns undefined unless it is a safe decimal integer. Eras wrap
 * around at `ERA_COUNT`, so that stores may start at any number.
 */
export function parseEra(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d+$/.test(text.trim())) return undefined;
  const era = Number(text);
  return Number.isSafeInteger(era) ? era % ERA_COUNT : undefined;
}

/** Dependencies of StoreEra. */
export interface StoreEraParts {
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
}

/** Tracks the era of a store from its answers. */
export class StoreEra {
  private readonly parts: StoreEraParts;
  private latest: number | undefined;
  private eraController = new AbortController();

  constructor(parts: StoreEraParts) {
    this.parts = parts;
  }

  /** Returns the latest era seen in an answer, or 0 if there was none. */
  getLatest(): number {
    return this.latest ?? 0;
  }

  /** Returns a signal that aborts when an answer of a later era arrives. */
  getSignal(): AbortSignal {
    return this.eraController.signal;
  }

  /**
   * Records the era of an answer and returns it, or the latest known era if the answer has
   * none. A delayed answer may be of an earlier era.
   *
   * @param call Call that was answered, for the log.
   */
  recordAnswer(eraText: string | undefined, call: string): number {
    const era = parseEra(eraText) ?? this.getLatest();
    const before = this.latest;
    if (before !== undefined && era <= before) return era;
    this.latest = era;
    if (before === undefined) return era;
    this.parts.logger.logEvent('store.restored', {before, era, call});
    this.parts.metrics.addToCounter('hollowstack_store_restorations_total');
    this.eraController.abort(
      new Error(`the store was restored and is now in era ${era}`),
    );
    this.eraController = new AbortController();
    return era;
  }
}
