import {computeShares, type Demand} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';

interface ReportedDemand {
  readonly requestsPerSecond: number;
  readonly inFlight: number;
  readonly atMs: number;
}

/** Milliseconds for which a reported demand counts. */
const DEMAND_MS = 3000;

/** What one instance may use of a workspace's limits. */
export interface GrantedShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
}

/**
 * Shares out the limits of the workspaces that fall to this instance. Its
 * state is what was reported in the last seconds: another instance that takes
 * a workspace over has it again after one round.
 */
export class ShareKeeper {
  private readonly clock: Clock;
  private readonly reports = new Map<string, Map<string, ReportedDemand>>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Takes an instance's demand and returns its share. */
  grantShare(
    workspace: string,
    instance: string,
    demand: {requestsPerSecond: number; inFlight: number},
    limits: GrantedShare,
  ): GrantedShare {
    const nowMs = this.clock.getNow();
    const reports = this.reports.get(workspace) ?? new Map();
    this.reports.set(workspace, reports);
    reports.set(instance, {...demand, atMs: nowMs});
    for (const [id, {atMs}] of reports) {
      if (nowMs - atMs > DEMAND_MS) reports.delete(id);
    }
    return {
      requestsPerSecond: findShare(
        limits.requestsPerSecond,
        listDemands(reports, report => report.requestsPerSecond),
        instance,
      ),
      concurrentRequests: findShare(
        limits.concurrentRequests,
        listDemands(reports, report => report.inFlight),
        instance,
      ),
    };
  }
}

function listDemands(
  reports: ReadonlyMap<string, ReportedDemand>,
  readAmount: (report: ReportedDemand) => number,
): Demand[] {
  return [...reports].map(([instance, report]) => ({
    instance,
    amount: readAmount(report),
  }));
}

function findShare(
  limit: number,
  demands: readonly Demand[],
  instance: string,
): number {
  const shares = computeShares(limit, demands);
  return shares.find(share => share.instance === instance)?.amount ?? 0;
}
