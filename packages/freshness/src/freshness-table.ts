import type {Clock} from '@hollowstack/clock';

/** The parts of an instance's view of the store. */
export const VIEW_PARTS = ['configuration', 'upstreams'] as const;
/** A part of an instance's view of the store. */
export type ViewPart = (typeof VIEW_PARTS)[number];

/** Age of the view, for the log. */
export interface FreshnessState {
  /** Age in milliseconds; undefined until there is evidence of every part. */
  readonly ageMs: number | undefined;
  /** The oldest part, which determines the age. */
  readonly part: ViewPart;
  /** Source of the latest evidence of that part; empty if there is none. */
  readonly source: string;
}

/** Dependencies of FreshnessTable. */
export interface FreshnessTableParts {
  readonly clock: Clock;
  /** Maximum age of a view that is not stale, in milliseconds. */
  readonly maxAgeMs: number;
}

interface Evidence {
  readonly knownUntilMs: number;
  readonly source: string;
}

const NO_EVIDENCE: Evidence = {knownUntilMs: -Infinity, source: ''};

/** The times up to which this instance knows every change that the store acknowledged. */
export class FreshnessTable {
  private readonly parts: FreshnessTableParts;
  private readonly evidence = new Map<ViewPart, Evidence>();
  private freshWaiter: PromiseWithResolvers<void> | undefined;

  constructor(parts: FreshnessTableParts) {
    this.parts = parts;
  }

  /**
   * Records that every change of a part up to a time is known. Older evidence than the
   * latest is ignored.
   *
   * @param knownUntilMs In milliseconds of this instance's clock; future times count as now.
   * @param source `store`, `watch` or a peer.
   */
  recordKnown(part: ViewPart, knownUntilMs: number, source: string): void {
    const untilMs = Math.min(this.parts.clock.getNow(), knownUntilMs);
    if (untilMs <= this.getEvidence(part).knownUntilMs) return;
    this.evidence.set(part, {knownUntilMs: untilMs, source});
    if (!this.freshWaiter || this.isStale()) return;
    this.freshWaiter.resolve();
    this.freshWaiter = undefined;
  }

  /** Returns the time up to which a part is known; undefined if there is no evidence. */
  getKnownUntilMs(part: ViewPart): number | undefined {
    return this.evidence.get(part)?.knownUntilMs;
  }

  /** Returns the age of the oldest part in milliseconds; Infinity without evidence of it. */
  getAgeMs(): number {
    const untilMs = VIEW_PARTS.map(part => this.getEvidence(part).knownUntilMs);
    return this.parts.clock.getNow() - Math.min(...untilMs);
  }

  isStale(): boolean {
    return this.getAgeMs() > this.parts.maxAgeMs;
  }

  getState(): FreshnessState {
    const [oldest] = [...VIEW_PARTS].sort(
      (left, right) =>
        this.getEvidence(left).knownUntilMs -
        this.getEvidence(right).knownUntilMs,
    );
    const ageMs = this.getAgeMs();
    return {
      ageMs: ageMs === Infinity ? undefined : Math.round(ageMs),
      part: oldest,
      source: this.getEvidence(oldest).source,
    };
  }

  /** Resolves once the view is fresh. */
  waitUntilFresh(): Promise<void> {
    if (!this.isStale()) return Promise.resolve();
    this.freshWaiter ??= Promise.withResolvers<void>();
    return this.freshWaiter.promise;
  }

  private getEvidence(part: ViewPart): Evidence {
    return this.evidence.get(part) ?? NO_EVIDENCE;
  }
}
