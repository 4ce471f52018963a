import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {ConnectionState} from '@hollowstack/transport';
import type {SuspectRequest, SuspectTable} from './suspect-table.ts';

/** An attempt whose connection closed or became unresponsive before the answer was complete. */
export interface BrokenAttempt {
  readonly request: SuspectRequest;
  readonly upstream: {
    readonly id: string;
    readonly address: string;
    readonly service: string;
  };
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Dependencies of CrashDetector. */
export interface CrashDetectorParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  /** Take note of each crash. */
  readonly tables: ReadonlyArray<Pick<SuspectTable, 'recordCrash'>>;
  /** Opens a connection to an address and closes it again. */
  readonly checkAddress: (address: string) => Promise<ConnectionState>;
}

/** Evidence that an upstream crashed, rather than that its answer was lost in transit. */
type CrashEvidence = 'connection-refused' | 'registration';

/**
 * Delays of the probes after a connection broke. A process that ends may close its
 * connections before its port, so a single early probe could miss the crash.
 */
const PROBE_DELAYS_MS = [20, 150];
/** Minimum interval between two series of probes of an upstream. */
const MIN_PROBE_INTERVAL_MS = 2000;
/** Time to wait for evidence; the registration of a crashed upstream ends within it. */
const EVIDENCE_TIMEOUT_MS = 10_000;
/** Maximum number of attempts that wait for evidence. */
const MAX_PENDING = 256;
/** Maximum number of fingerprints, and of prompt parts, in one log line. */
const MAX_LOGGED_ITEMS = 8;

/**
 * Distinguishes crashes of upstreams from connections that broke for other reasons. Evidence
 * of a crash is a refused connection, of a probe or of any request, or the end of the
 * upstream's registration.
 */
export class CrashDetector {
  private readonly parts: CrashDetectorParts;
  private pending: BrokenAttempt[] = [];
  /** Ids of the registered upstreams; undefined until the first `setUpstreams`. */
  private registeredIds: ReadonlySet<string> | undefined;
  /** Earliest time of the next probes, by upstream id. */
  private readonly nextProbeAtMs = new Map<string, number>();

  constructor(parts: CrashDetectorParts) {
    this.parts = parts;
  }

  /** Returns whether broken attempts wait for evidence. */
  hasPending(): boolean {
    this.removeExpired();
    return this.pending.length > 0;
  }

  /** Records an attempt during which the upstream may have crashed. */
  recordBroken(attempt: BrokenAttempt): void {
    this.removeExpired();
    const {upstream} = attempt;
    this.pending = [...this.pending, attempt].slice(-MAX_PENDING);
    const isUnregistered = this.registeredIds?.has(upstream.id) === false;
    if (isUnregistered) this.settleCrash(upstream.id, 'registration');
    else this.scheduleProbes(upstream);
  }

  /** Records that a request was answered, so that it is not the cause of a crash. */
  recordServed(fingerprint: string): void {
    this.pending = this.pending.filter(
      ({request}) => request.fingerprint !== fingerprint,
    );
  }

  /** Records that an upstream refused a connection, which shows that its process has ended. */
  recordRefusedConnection(upstreamId: string): void {
    this.settleCrash(upstreamId, 'connection-refused');
  }

  /** Sets the registered upstreams; pending attempts at all others count as crashes. */
  setUpstreams(upstreams: ReadonlyArray<{readonly id: string}>): void {
    const registeredIds = new Set(upstreams.map(({id}) => id));
    this.registeredIds = registeredIds;
    const unregistered = this.pending.filter(
      ({upstream}) => !registeredIds.has(upstream.id),
    );
    for (const id of new Set(unregistered.map(({upstream}) => upstream.id))) {
      this.settleCrash(id, 'registration');
    }
  }

  private scheduleProbes(upstream: BrokenAttempt['upstream']): void {
    const nowMs = this.parts.clock.getNow();
    if (nowMs < (this.nextProbeAtMs.get(upstream.id) ?? 0)) return;
    for (const [id, probeAtMs] of this.nextProbeAtMs) {
      if (probeAtMs <= nowMs) this.nextProbeAtMs.delete(id);
    }
    this.nextProbeAtMs.set(upstream.id, nowMs + MIN_PROBE_INTERVAL_MS);
    for (const delayMs of PROBE_DELAYS_MS) {
      this.parts.clock.schedule(delayMs, () => void this.runProbe(upstream));
    }
  }

  private async runProbe(upstream: BrokenAttempt['upstream']): Promise<void> {
    const isPending = this.pending.some(
      each => each.upstream.id === upstream.id,
    );
    if (!isPending) return;
    const result = await this.parts.checkAddress(upstream.address);
    if (result === 'refused') this.recordRefusedConnection(upstream.id);
  }

  private settleCrash(upstreamId: string, evidence: CrashEvidence): void {
    const isOfUpstream = ({upstream}: BrokenAttempt) =>
      upstream.id === upstreamId;
    const settled = this.pending.filter(isOfUpstream);
    if (settled.length === 0) return;
    this.pending = this.pending.filter(each => !isOfUpstream(each));
    this.logCrash(settled, evidence);
    for (const {request, sentAtMs, endedAtMs} of settled) {
      for (const table of this.parts.tables) {
        table.recordCrash(request, {
          upstream: upstreamId,
          sentAtMs,
          endedAtMs,
          isRefuted: false,
        });
      }
    }
  }

  private logCrash(
    settled: readonly BrokenAttempt[],
    evidence: CrashEvidence,
  ): void {
    const {clock, logger, metrics} = this.parts;
    const [{upstream, endedAtMs}] = settled;
    const fingerprints = settled.map(({request}) => request.fingerprint);
    const parts = settled.flatMap(({request}) => request.promptParts);
    const {service} = upstream;
    metrics.addToCounter('hollowstack_upstream_crashes_total', {service});
    logger.logEvent('upstream.crashed', {
      upstream: upstream.id,
      service,
      requests: settled.length,
      fingerprints: fingerprints.slice(0, MAX_LOGGED_ITEMS).join(','),
      promptParts: [...new Set(parts)].slice(0, MAX_LOGGED_ITEMS).join(','),
      evidence,
      ageMs: Math.round(clock.getNow() - endedAtMs),
    });
  }

  private removeExpired(): void {
    const sinceMs = this.parts.clock.getNow() - EVIDENCE_TIMEOUT_MS;
    this.pending = this.pending.filter(({endedAtMs}) => endedAtMs >= sinceMs);
  }
}
