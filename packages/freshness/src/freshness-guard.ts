import {waitFor, type Clock, type Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {FreshnessTable} from './freshness-table.ts';
import type {PeerReach, ViewRefresher} from './view-refresher.ts';

/** Dependencies of FreshnessGuard. */
export interface FreshnessGuardParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly table: FreshnessTable;
  /** Used together by each refresh. */
  readonly refreshers: readonly ViewRefresher[];
}

/** Longest milliseconds of a refresh: some answers of a slow peer, a part of any deadline. */
const REFRESH_TIMEOUT_MS = 200;
/** Milliseconds from the beginning of a refresh that failed to the next one on demand. */
const MIN_INTERVAL_MS = 500;
/** Milliseconds to the next one that nobody asks for. */
const RETRY_DELAY_MS = 1000;
/**
 * Milliseconds after a refresh that failed in which decisions go on without waiting for
 * another one. After longer, the process may have stood still.
 */
const FAILURE_TTL_MS = 1500;

/** What a refresh that did not make the view fresh has shown. */
interface FailedRefresh {
  readonly beganAtMs: number;
  readonly endedAtMs: number;
  readonly reach: PeerReach;
}

/** Has the view of the store refreshed before something is decided by a stale one. */
export class FreshnessGuard {
  private readonly parts: FreshnessGuardParts;
  private runningRefresh: Promise<void> | undefined;
  private lastFailure: FailedRefresh | undefined;
  private staleSinceMs: number | undefined;
  private retryTimer: Timer | undefined;
  private isStopped = false;

  constructor(parts: FreshnessGuardParts) {
    this.parts = parts;
  }

  isStale(): boolean {
    return this.parts.table.isStale();
  }

  /** Returns whether a decision by what is known should wait for a refresh. */
  isRefreshDue(): boolean {
    if (!this.isStale()) return false;
    const {lastFailure} = this;
    if (!lastFailure) return true;
    const sinceMs = this.parts.clock.getNow() - lastFailure.endedAtMs;
    if (sinceMs >= FAILURE_TTL_MS) return true;
    this.startDueRefresh();
    return false;
  }

  /** Asks the store and peers for evidence; all callers share one refresh. */
  async refresh(): Promise<void> {
    if (!this.isStale()) return;
    this.startDueRefresh();
    await this.runningRefresh;
  }

  /**
   * Returns whether something that this instance does not know may be refused for good: its
   * view is fresh, or nobody that it reaches has a fresh one.
   */
  async mayRefuseUnknown(): Promise<boolean> {
    await this.refresh();
    return !this.isStale() || this.lastFailure?.reach === 'far';
  }

  /** Refreshes nothing any more, so that no timer keeps a process that stops. */
  stop(): void {
    this.isStopped = true;
    this.retryTimer?.cancel();
  }

  private startDueRefresh(): void {
    if (this.runningRefresh || this.isStopped) return;
    const nowMs = this.parts.clock.getNow();
    const {lastFailure} = this;
    if (lastFailure && nowMs - lastFailure.beganAtMs < MIN_INTERVAL_MS) return;
    this.runningRefresh = this.runRefresh(nowMs).finally(() => {
      this.runningRefresh = undefined;
    });
  }

  private async runRefresh(beganAtMs: number): Promise<void> {
    const {clock, table, refreshers, metrics} = this.parts;
    this.recordStale(beganAtMs);
    let reach: PeerReach = 'none';
    const refreshes = refreshers.map(async refresher => {
      reach = chooseFarther(reach, await refresher.refresh());
    });
    void Promise.all(refreshes);
    const timeout = new AbortController();
    await Promise.race([
      table.waitUntilFresh(),
      waitFor(clock, REFRESH_TIMEOUT_MS, timeout.signal).catch(() => {}),
    ]);
    timeout.abort(new Error('the refresh is over'));
    const outcome = table.isStale() ? 'failed' : 'fresh';
    metrics.addToCounter('hollowstack_view_refreshes_total', {outcome});
    if (outcome === 'fresh') return;
    this.recordFailed({beganAtMs, endedAtMs: clock.getNow(), reach});
    this.scheduleRetry();
  }

  // A decision that comes now and then need not wait for a refresh of its own.
  private scheduleRetry(): void {
    this.retryTimer?.cancel();
    if (this.isStopped) return;
    this.retryTimer = this.parts.clock.schedule(RETRY_DELAY_MS, () => {
      if (this.isStale()) this.startDueRefresh();
    });
  }

  private recordStale(nowMs: number): void {
    if (this.staleSinceMs !== undefined) return;
    this.staleSinceMs = nowMs;
    const {logger, table} = this.parts;
    logger.logEvent('view.stale', {...table.getState()});
    void table.waitUntilFresh().then(() => this.recordFresh(nowMs));
  }

  private recordFresh(staleSinceMs: number): void {
    const {clock, logger, table} = this.parts;
    const forMs = Math.round(clock.getNow() - staleSinceMs);
    this.staleSinceMs = undefined;
    this.lastFailure = undefined;
    logger.logEvent('view.fresh', {...table.getState(), forMs});
  }

  private recordFailed(failure: FailedRefresh): void {
    const {logger, table} = this.parts;
    const hasReachChanged = this.lastFailure?.reach !== failure.reach;
    this.lastFailure = failure;
    if (!hasReachChanged) return;
    logger.logEvent('view.unconfirmed', {
      ...table.getState(),
      peers: failure.reach,
    });
  }
}

const REACHES: readonly PeerReach[] = ['none', 'near', 'far'];

function chooseFarther(left: PeerReach, right: PeerReach): PeerReach {
  return REACHES.indexOf(left) > REACHES.indexOf(right) ? left : right;
}
