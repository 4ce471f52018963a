import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';

/** Dependencies of PathTable. */
export interface PathTableParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
}

/**
 * Number of upstreams whose direct paths must be lost, with no direct connection in between,
 * for this instance to count as isolated. With fewer upstreams, all of them.
 */
const MIN_LOST_PATHS = 3;
/** Maximum number of addresses in one log line. */
const MAX_LOGGED_ADDRESSES = 8;

/** Milliseconds after which a lost path is tried again while other paths work. */
const RETRY_LOST_PATH_MS = 1000;

/**
 * How to connect to an upstream: `direct` with a tunnel as its standby, `retry` likewise but
 * with little patience, or `tunnel` at once.
 */
export type PathChoice = 'direct' | 'retry' | 'tunnel';

/** A direct path that has failed. */
interface LostPath {
  readonly sinceMs: number;
  failedAtMs: number;
}

/**
 * The state of this instance's direct paths to upstreams. It counts as isolated once the
 * paths to several upstreams are lost and no direct connection was established since.
 */
export class PathTable {
  private readonly parts: PathTableParts;
  private readonly lostPaths = new Map<string, LostPath>();
  private readonly isolationListeners: Array<() => void> = [];
  private addresses: readonly string[] = [];
  private connectedAtMs = -Infinity;
  private isolatedSinceMs: number | undefined;

  constructor(parts: PathTableParts) {
    this.parts = parts;
    parts.metrics.setGauge(
      'hollowstack_upstream_paths_lost',
      {},
      () => this.lostPaths.size,
    );
    parts.metrics.setGauge('hollowstack_upstreams_isolated', {}, () =>
      this.isIsolated() ? 1 : 0,
    );
  }

  /** Replaces the addresses of the registered upstreams. */
  setUpstreams(upstreams: ReadonlyArray<{readonly address: string}>): void {
    this.addresses = [...new Set(upstreams.map(({address}) => address))];
    const registered = new Set(this.addresses);
    for (const address of this.lostPaths.keys()) {
      if (!registered.has(address)) this.lostPaths.delete(address);
    }
  }

  /** Adds a function that is called when this instance becomes isolated. */
  addIsolationListener(listener: () => void): void {
    this.isolationListeners.push(listener);
  }

  /** Lists the addresses of the registered upstreams. */
  listAddresses(): readonly string[] {
    return this.addresses;
  }

  /** Chooses how to connect to an address. */
  choosePath(address: string): PathChoice {
    if (this.isIsolated()) return 'tunnel';
    const lost = this.lostPaths.get(address);
    if (!lost) return 'direct';
    const ageMs = this.parts.clock.getNow() - lost.failedAtMs;
    return ageMs < RETRY_LOST_PATH_MS ? 'tunnel' : 'retry';
  }

  /** Returns whether the direct path to an address is lost. */
  isLost(address: string): boolean {
    return this.isIsolated() || this.lostPaths.has(address);
  }

  /** Returns whether no upstream can be reached directly, as far as this instance knows. */
  isIsolated(): boolean {
    return this.isolatedSinceMs !== undefined;
  }

  /** Records that a direct connection was established. */
  recordConnected(address: string): void {
    this.connectedAtMs = this.parts.clock.getNow();
    this.lostPaths.delete(address);
    this.endIsolation(address);
  }

  /**
   * Removes an address from the lost paths: its upstream accepts no connection from anyone,
   * or the path is tried again.
   */
  removeLostPath(address: string): void {
    this.lostPaths.delete(address);
  }

  /** Records that a direct connection failed although the upstream may be sound. */
  recordLost(address: string): void {
    const nowMs = this.parts.clock.getNow();
    const known = this.lostPaths.get(address);
    if (known) known.failedAtMs = nowMs;
    else this.lostPaths.set(address, {sinceMs: nowMs, failedAtMs: nowMs});
    this.beginIsolationIfDue();
  }

  private beginIsolationIfDue(): void {
    if (this.isIsolated()) return;
    const lost = this.listLostSinceContact();
    if (lost.length < Math.min(MIN_LOST_PATHS, this.addresses.length)) return;
    const {clock, logger, metrics} = this.parts;
    const nowMs = clock.getNow();
    this.isolatedSinceMs = nowMs;
    metrics.addToCounter('hollowstack_upstream_isolations_total');
    logger.logEvent('paths.isolated', {
      lost: lost.length,
      registered: this.addresses.length,
      addresses: lost.slice(0, MAX_LOGGED_ADDRESSES).join(','),
      connectedAgoMs: Number.isFinite(this.connectedAtMs)
        ? Math.round(nowMs - this.connectedAtMs)
        : undefined,
    });
    for (const listener of this.isolationListeners) listener();
  }

  // The other paths were lost for the same reason, so each of them is tried again.
  private endIsolation(address: string): void {
    if (this.isolatedSinceMs === undefined) return;
    const {clock, logger} = this.parts;
    const forMs = Math.round(clock.getNow() - this.isolatedSinceMs);
    this.isolatedSinceMs = undefined;
    logger.logEvent('paths.restored', {
      address,
      forMs,
      lost: this.lostPaths.size,
    });
    this.lostPaths.clear();
  }

  private listLostSinceContact(): string[] {
    return [...this.lostPaths]
      .filter(([, {failedAtMs}]) => failedAtMs > this.connectedAtMs)
      .map(([address]) => address);
  }
}
