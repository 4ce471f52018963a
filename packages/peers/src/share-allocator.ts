import {computeShares, type LimitDemand} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';

interface ReportedDemand {
  readonly requestsPerSecond: number;
  readonly inFlight: number;
  /** The share granted in reply to this report. */
  granted: GrantedShare;
  readonly atMs: number;
}

/** The demand that an instance reports for a workspace. */
export interface ShareDemand {
  readonly requestsPerSecond: number;
  readonly inFlight: number;
}

/** Milliseconds for which a reported demand is valid. */
const DEMAND_VALID_MS = 3000;

/**
 * Fraction of a limit that is reserved, out of its unclaimed part, for instances that
 * have not reported yet. A new instance asks for this fraction first.
 */
export const RESERVED_FRACTION = 1 / 3;

/** What one instance may use of a workspace's limits. */
export interface GrantedShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
}

/**
 * Divides the limits of the workspaces assigned to this instance among the instances.
 * Its state consists of the reports of the last few seconds, so another instance that takes
 * over a workspace rebuilds it within one round of reports.
 */
export class ShareAllocator {
  private readonly clock: Clock;
  private readonly reports = new Map<string, Map<string, ReportedDemand>>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Records an instance's demand and returns its share. The shares granted to others are
   * valid until their next round, so a share above the even share comes only from what is
   * not granted. Otherwise, instances that start one after the other would together have
   * up to three times the limit in that second.
   *
   * @param liveCount Number of instances that may ask for a share.
   */
  grantShare(
    workspace: string,
    instance: string,
    demand: ShareDemand,
    limits: GrantedShare,
    liveCount: number,
  ): GrantedShare {
    const nowMs = this.clock.getNow();
    const reports = this.reports.get(workspace) ?? new Map();
    this.reports.set(workspace, reports);
    this.removeOldReports(reports, nowMs);
    const report = {...demand, granted: NO_SHARE, atMs: nowMs};
    reports.set(instance, report);
    report.granted = {
      requestsPerSecond: computeGrant(
        limits.requestsPerSecond,
        reports,
        instance,
        each => each.requestsPerSecond,
        each => each.granted.requestsPerSecond,
        liveCount,
      ),
      concurrentRequests: computeGrant(
        limits.concurrentRequests,
        reports,
        instance,
        each => each.inFlight,
        each => each.granted.concurrentRequests,
        liveCount,
      ),
    };
    return report.granted;
  }

  private removeOldReports(
    reports: Map<string, ReportedDemand>,
    nowMs: number,
  ): void {
    for (const [id, {atMs}] of reports) {
      if (nowMs - atMs > DEMAND_VALID_MS) reports.delete(id);
    }
  }
}

const NO_SHARE: GrantedShare = {requestsPerSecond: 0, concurrentRequests: 0};

function computeGrant(
  limit: number,
  reports: ReadonlyMap<string, ReportedDemand>,
  instance: string,
  readDemand: (report: ReportedDemand) => number,
  readGranted: (report: ReportedDemand) => number,
  liveCount: number,
): number {
  const demands: LimitDemand[] = [];
  let granted = 0;
  for (const [id, report] of reports) {
    demands.push({instance: id, amount: readDemand(report)});
    if (id !== instance) granted += readGranted(report);
  }
  const isComplete = reports.size >= liveCount;
  const reserve = isComplete ? 0 : limit * RESERVED_FRACTION;
  const share = computeShare(limit, demands, instance, reserve);
  const evenShare = limit / Math.max(liveCount, reports.size);
  return Math.min(share, Math.max(evenShare, limit - granted));
}

// The unclaimed part is divided among the instances that have reported, less the
// reserve for those that have not.
function computeShare(
  limit: number,
  demands: readonly LimitDemand[],
  instance: string,
  reserve: number,
): number {
  const spare = limit - demands.reduce((sum, {amount}) => sum + amount, 0);
  const reserved = Math.max(0, Math.min(spare, reserve)) / demands.length;
  return findShare(limit, demands, instance) - reserved;
}

function findShare(
  limit: number,
  demands: readonly LimitDemand[],
  instance: string,
): number {
  const shares = computeShares(limit, demands);
  return shares.find(share => share.instance === instance)?.amount ?? 0;
}
