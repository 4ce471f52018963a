import {
  listPlanners,
  type Membership,
  type PeerLink,
  type PeerRecord,
} from '@hollowstack/peers';
import {isAcceptingWork, type RegisteredUpstream} from '@hollowstack/routes';
import {listByRendezvous} from '@hollowstack/routing';
import {
  assembleUpstreamOwners,
  countUsefulPlanners,
} from './upstream-owners.ts';

/** Dependencies of StagePlanners. */
export interface StagePlannersParts {
  readonly membership: Membership;
  readonly link: Pick<PeerLink, 'getCommonSilenceMs'>;
}

interface PlannerTable {
  readonly planners: readonly PeerRecord[];
  /** Planners by upstream id. */
  readonly owners: ReadonlyMap<string, string>;
}

/**
 * Milliseconds without a message from any peer after which this instance counts as cut off and
 * plans by itself; longer than two rounds of gossip.
 */
const CUT_OFF_MS = 3000;

/**
 * The instances that plan the calls of stages, as this instance sees them, and the upstreams that
 * each of them plans for. An instance plans only for upstreams that are its own by its own view,
 * so that a wrong view of another instance gives no upstream a second planner.
 */
export class StagePlanners {
  private readonly parts: StagePlannersParts;
  private upstreams: readonly RegisteredUpstream[] = [];
  private stageServices: ReadonlySet<string> = new Set();
  private version = 0;
  private cacheKey = 'stage-planners';

  constructor(parts: StagePlannersParts) {
    this.parts = parts;
  }

  /** Replaces the services whose upstreams run stages. */
  setServices(services: ReadonlySet<string>): void {
    this.stageServices = services;
    this.replaceCacheKey();
  }

  /** Replaces the registered upstreams. */
  setUpstreams(upstreams: readonly RegisteredUpstream[]): void {
    this.upstreams = upstreams;
    this.replaceCacheKey();
  }

  /** Lists the ids of the planners in order of rank. */
  listIds(): string[] {
    return this.getTable().planners.map(({id}) => id);
  }

  /** Returns whether this instance plans for some upstreams. */
  isPlanner(): boolean {
    const {id} = this.parts.membership.getSelf();
    return this.getTable().planners.some(planner => planner.id === id);
  }

  /** Returns whether this instance plans the calls to an upstream. */
  mayPlan(upstreamId: string): boolean {
    const {planners, owners} = this.getTable();
    const {id} = this.parts.membership.getSelf();
    if (planners.length === 1) return planners[0].id === id;
    return owners.get(upstreamId) === id;
  }

  /**
   * Lists the planners in the order in which a request uses them, the first one unless it has no
   * room. A planner that admitted the request comes first.
   *
   * @param admittedBy Id of the planner that admitted the request, if known.
   */
  listForRequest(requestId: string, admittedBy?: string): PeerRecord[] {
    const {planners} = this.getTable();
    const records = new Map(planners.map(planner => [planner.id, planner]));
    const ids = listByRendezvous(requestId, [...records.keys()]);
    const ordered = ids.map(id => records.get(id)!);
    const admitting = records.get(admittedBy ?? '');
    if (!admitting) return ordered;
    return [admitting, ...ordered.filter(({id}) => id !== admittedBy)];
  }

  /** Returns the planner of the upstream at an address; the first planner if it is not known. */
  getPlannerOf(address: string): PeerRecord {
    const {planners, owners} = this.getTable();
    const upstream = this.upstreams.find(each => each.address === address);
    const ownerId = owners.get(upstream?.id ?? '');
    return planners.find(({id}) => id === ownerId) ?? planners[0];
  }

  private getTable(): PlannerTable {
    const {membership} = this.parts;
    return membership.getCached(this.cacheKey, () =>
      this.createTable(
        this.isCutOff() ? [membership.getSelf()] : listPlanners(membership),
      ),
    );
  }

  // A table of earlier upstreams stays in the cache under another key.
  private replaceCacheKey(): void {
    this.version += 1;
    this.cacheKey = `stage-planners/${this.version}`;
  }

  private isCutOff(): boolean {
    return this.parts.link.getCommonSilenceMs() >= CUT_OFF_MS;
  }

  private createTable(ranked: readonly PeerRecord[]): PlannerTable {
    const upstreams = this.upstreams.filter(
      upstream =>
        this.stageServices.has(upstream.service) && isAcceptingWork(upstream),
    );
    const count = countUsefulPlanners(upstreams, ranked.length);
    const planners = ranked.slice(0, count);
    const ids = planners.map(({id}) => id);
    return {planners, owners: assembleUpstreamOwners(upstreams, ids)};
  }
}
