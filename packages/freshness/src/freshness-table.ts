import type {Clock} from '@hollowstack/clock';

/** The parts of an instance's view of the store. */
export const VIEW_PARTS = ['configuration', 'upstreams'] as const;
/** A part of an instance's view of the store. */
export type ViewPart = (typeof VIEW_PARTS)[number];

/** How old the view is, for the log. */
export interface FreshnessState {
  /** Milliseconds; undefined before every part was known. */
  readonly ageMs: number | undefined;
  /** The part that is known for longest ago. */
  readonly part: ViewPart;
  /** Who gave the latest evidence of that part; empty before there was any. */
  readonly source: string;
}

/** Dependencies of FreshnessTable. */
export interface FreshnessTableParts {
  readonly clock: Clock;
  /** Milliseconds of age from which on the view is stale. */
  readonly maxAgeMs: number;
}

interface Evidence {
  readonly knownUntilMs: number;
  readonly source: string;
}

const NO_EVIDENCE: Evidence = {knownUntilMs: -Infinity, source: ''};

/** Until when an instance knows every change that the store has acknowledged. */
export class FreshnessTable {
  private readonly parts: FreshnessTableParts;
  private readonly evidence = new Map<ViewPart, Evidence>();
  private freshWaiter: PromiseWithResolvers<void> | undefined;

  constructor(parts: FreshnessTableParts) {
    this.parts = parts;
  }

  /**
   * Notes that every change up to a time is known. Earlier evidence than the latest is
   * passed over.
   *
   * @param knownUntilMs Time of the clock; what lies ahead of now counts as now.
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

  /** Returns until when a part is known; undefined before there was evidence. */
  getKnownUntilMs(part: ViewPart): number | undefined {
    return this.evidence.get(part)?.knownUntilMs;
  }

  /** Returns milliseconds since all parts were known, or infinity before. */
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
