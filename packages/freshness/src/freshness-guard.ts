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
  /** All are run concurrently by each refresh. */
  readonly refreshers: readonly ViewRefresher[];
}

/** Covers several round trips to a slow peer, and is a fraction of any request deadline. */
const REFRESH_TIMEOUT_MS = 200;
/** Minimum interval between the starts of a failed refresh and of the next one on demand. */
const MIN_INTERVAL_MS = 500;
/** Delay after a failed refresh until it is retried without demand. */
const RETRY_DELAY_MS = 1000;
/**
 * Time after a failed refresh during which decisions do not wait for another one. It exceeds
 * the retry delay, so an older failure suggests that the process was paused.
 */
const FAILURE_TTL_MS = 1500;

/** A refresh after which the view was still stale. */
interface FailedRefresh {
  readonly beganAtMs: number;
  readonly endedAtMs: number;
  readonly reach: PeerReach;
}

/** Refreshes a stale view of the store before decisions that depend on it. */
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

  /**
   * Returns whether a decision should wait for a refresh of the view. If the last refresh
   * failed recently, starts another one in the background and returns false.
   */
  isRefreshDue(): boolean {
    if (!this.isStale()) return false;
    const {lastFailure} = this;
    if (!lastFailure) return true;
    const sinceMs = this.parts.clock.getNow() - lastFailure.endedAtMs;
    if (sinceMs >= FAILURE_TTL_MS) return true;
    this.startDueRefresh();
    return false;
  }

  /** Refreshes the view if it is stale; concurrent callers share one refresh. */
  async refresh(): Promise<void> {
    if (!this.isStale()) return;
    this.startDueRefresh();
    await this.runningRefresh;
  }

  /**
   * Refreshes a stale view, then returns whether a request for something unknown may be
   * refused for good: if the view is fresh, or if the last refresh failed although a peer in
   * another failure domain answered (`far`).
   */
  async mayRefuseUnknown(): Promise<boolean> {
    await this.refresh();
    return !this.isStale() || this.lastFailure?.reach === 'far';
  }

  /** Stops refreshing, so that no timer keeps a stopping process alive. */
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
    timeout.abort(new Error('the refresh has ended'));
    const outcome = table.isStale() ? 'failed' : 'fresh';
    metrics.addToCounter('hollowstack_view_refreshes_total', {outcome});
    if (outcome === 'fresh') return;
    this.recordFailed({beganAtMs, endedAtMs: clock.getNow(), reach});
    this.scheduleRetry();
  }

  // Keeps the last failure recent, so that occasional decisions do not wait for a refresh.
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
