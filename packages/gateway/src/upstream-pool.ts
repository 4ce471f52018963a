import {
  findUnavailability,
  getColdUntilMs,
  hasSoftwareVersion,
  isAcceptingWork,
  type RegisteredUpstream,
  type RouteTable,
  type Unavailability,
  type WarmUp,
} from '@hollowstack/routes';
import {
  DEFAULT_HEALTH_POLICY,
  SendPacer,
  Slowness,
  createHealthyState,
  createLoadState,
  getEffectiveSlowness,
  isCandidate,
  recordDispatch,
  recordCompletion,
  recordFailure,
  recordSuccess,
  recordTrial,
  type FailureKind,
  type HealthState,
  type LoadState,
} from '@hollowstack/routing';
import type {BackOffTable} from '@hollowstack/upstream-signals';
import type {UpstreamCandidate} from './upstream-choice.ts';

/** Weight of the newest request in the moving mean of a service. */
const MEAN_WEIGHT = 0.05;
/**
 * Upper bound of one sample of slowness, which is the latency of a request relative to the
 * mean of its service; thus one outlier does not exclude an upstream.
 */
const MAX_SLOWNESS = 8;
/** Weight of the newest request in the slowness of its upstream. */
const SLOWNESS_WEIGHT = 0.15;

/**
 * Share of a cold upstream's warm-up rate that all instances together may send without
 * the coordinator, which may send the full rate as well. Both together stay below 1.5
 * times the rate, which a cold upstream tolerates for a second.
 */
const UNCOORDINATED_SHARE = 0.4;

/** Dependencies of UpstreamPool. */
export interface UpstreamPoolParts {
  readonly getNow: () => number;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  /** Returns how many instances share the upstreams. */
  readonly getInstanceCount: () => number;
  /** The back-offs that upstreams asked of this instance. */
  readonly backOffs: Pick<
    BackOffTable,
    'maySend' | 'acquireSend' | 'getWaitMs'
  >;
}

interface PooledUpstream {
  record: RegisteredUpstream;
  health: HealthState;
  load: LoadState;
  readonly slowness: Slowness;
  /** Paces this instance's sends while the upstream is cold. */
  coldPacer: SendPacer | undefined;
}

/** The upstreams of all services, with their health, load and latency at this instance. */
export class UpstreamPool {
  private readonly parts: UpstreamPoolParts;
  private warmUps = new Map<string, WarmUp>();
  private readonly upstreams = new Map<string, PooledUpstream>();
  private readonly meanMs = new Map<string, number>();
  private readonly occupancyMs = new Map<string, number>();

  constructor(parts: UpstreamPoolParts) {
    this.parts = parts;
  }

  /** Applies the warm-up settings of a newer configuration. */
  setConfiguration(table: RouteTable): void {
    this.warmUps = new Map(
      table.configuration.services.flatMap(({name, warmUp}) =>
        warmUp ? [[name, warmUp] as const] : [],
      ),
    );
  }

  /** Replaces the upstreams; those already known keep their health and load. */
  setUpstreams(records: readonly RegisteredUpstream[]): void {
    const listed = new Set(records.map(({id}) => id));
    for (const id of this.upstreams.keys()) {
      if (!listed.has(id)) this.upstreams.delete(id);
    }
    for (const record of records) {
      const known = this.upstreams.get(record.id);
      if (known) known.record = record;
      else {
        this.upstreams.set(record.id, {
          record,
          health: createHealthyState(),
          load: createLoadState(),
          slowness: new Slowness(SLOWNESS_WEIGHT),
          coldPacer: undefined,
        });
      }
    }
  }

  getRecord(id: string): RegisteredUpstream | undefined {
    return this.upstreams.get(id)?.record;
  }

  /**
   * Returns whether new work may go to an upstream now: it is registered, neither leaving
   * nor evacuated, and no back-off that it asked for prevents it.
   */
  maySend(id: string): boolean {
    const upstream = this.upstreams.get(id);
    if (!upstream || !isAcceptingWork(upstream.record)) return false;
    return this.parts.backOffs.maySend(id);
  }

  /** Like `maySend`, but also counts the send; called immediately before it. */
  acquireSend(id: string): boolean {
    return this.maySend(id) && this.parts.backOffs.acquireSend(id);
  }

  /** Returns the remaining milliseconds of an upstream's back-off. */
  getWaitMs(id: string): number {
    return this.parts.backOffs.getWaitMs(id);
  }

  /**
   * Returns why no upstream of a service can take work; undefined if one can.
   *
   * @param softwareVersion The only version that may take it; any if undefined.
   */
  findUnavailability(
    service: string,
    softwareVersion?: string,
  ): Unavailability | undefined {
    const records = this.listRecords(service).filter(record =>
      hasSoftwareVersion(record, softwareVersion),
    );
    const name =
      softwareVersion === undefined
        ? service
        : `${service} at version ${softwareVersion}`;
    return findUnavailability(name, records, id => this.getWaitMs(id));
  }

  /** Lists the ids of a service's upstreams. */
  listIds(service: string): string[] {
    return this.listRecords(service).map(({id}) => id);
  }

  /** Lists the ids of a service's upstreams to which this instance may send nothing now. */
  listBlocked(service: string): string[] {
    return this.listIds(service).filter(id => !this.maySend(id));
  }

  /**
   * Lists the upstreams of a service that may get new work, without the excluded ids.
   *
   * @param softwareVersion The only version that may take it; any if undefined.
   */
  listCandidates(
    service: string,
    excluded: ReadonlySet<string>,
    softwareVersion?: string,
  ): UpstreamCandidate[] {
    const nowMs = this.parts.getNow();
    const candidates: UpstreamCandidate[] = [];
    for (const upstream of this.upstreams.values()) {
      const {record, health, load, slowness} = upstream;
      if (record.service !== service || !this.maySend(record.id)) continue;
      if (!hasSoftwareVersion(record, softwareVersion)) continue;
      if (excluded.has(record.id) || !isCandidate(health, nowMs)) continue;
      candidates.push({
        id: record.id,
        failureDomain: record.failureDomain,
        capacity: record.capacity,
        ownInFlight: load.ownInFlight,
        latencyRatio: getEffectiveSlowness({
          ...load,
          slowness: slowness.getValue(nowMs),
        }),
        hasSendQuota: this.hasSendQuota(upstream, nowMs),
      });
    }
    return candidates;
  }

  /** Lists the ids of a service's upstreams with a request of this instance in flight. */
  listBusy(service: string): string[] {
    return [...this.upstreams.values()]
      .filter(
        ({record, load}) => record.service === service && load.ownInFlight > 0,
      )
      .map(({record}) => record.id);
  }

  /** Counts a choice without the coordinator towards the send rate of a cold upstream. */
  recordUncoordinatedChoice(id: string): void {
    const nowMs = this.parts.getNow();
    const upstream = this.upstreams.get(id);
    const perSecond = upstream && this.getOwnRate(upstream.record, nowMs);
    if (perSecond === undefined) return;
    upstream?.coldPacer?.recordSend(nowMs, perSecond);
  }

  // The first send waits for a random part of the interval between two sends. Otherwise
  // instances that start or lose their coordinator together would all send at once.
  private hasSendQuota(upstream: PooledUpstream, nowMs: number): boolean {
    const perSecond = this.getOwnRate(upstream.record, nowMs);
    if (perSecond === undefined) {
      upstream.coldPacer = undefined;
      return true;
    }
    const pauseMs = 1000 / perSecond;
    upstream.coldPacer ??= new SendPacer(nowMs + this.parts.random() * pauseMs);
    return upstream.coldPacer.isDue(nowMs);
  }

  // Requests per second that this instance may send to a cold upstream without the
  // coordinator; undefined for a warm one.
  private getOwnRate(
    record: RegisteredUpstream,
    nowMs: number,
  ): number | undefined {
    const warmUp = this.warmUps.get(record.service);
    if (!warmUp || nowMs >= getColdUntilMs(record, warmUp)) return undefined;
    const instances = Math.max(1, this.parts.getInstanceCount());
    return (warmUp.requestsPerSecond * UNCOORDINATED_SHARE) / instances;
  }

  beginRequest(id: string): void {
    this.applyChange(id, ({health, load}) => ({
      health: recordTrial(health),
      load: recordDispatch(load),
    }));
  }

  endRequest(id: string): void {
    // A trial request whose caller disconnected neither succeeded nor failed; the next
    // request may be the trial.
    this.applyChange(id, ({health, load}) => ({
      health: health.state === 'trial' ? {...health, state: 'out'} : health,
      load: recordCompletion(load),
    }));
  }

  /**
   * Records that an upstream served a request.
   *
   * @param tookMs Milliseconds to the first event of a stream, or to a complete plain answer.
   */
  recordSuccess(id: string, tookMs: number): void {
    const upstream = this.upstreams.get(id);
    if (!upstream) return;
    const {service} = upstream.record;
    const nowMs = this.parts.getNow();
    const mean = this.meanMs.get(service) ?? tookMs;
    const slowness = Math.min(MAX_SLOWNESS, tookMs / Math.max(1, mean));
    // Outliers are capped, so that the mean follows typical upstreams and not a slow one.
    const sample = Math.min(tookMs, 3 * mean);
    this.meanMs.set(service, mean + (sample - mean) * MEAN_WEIGHT);
    upstream.slowness.recordSample(slowness, nowMs);
    upstream.health = recordSuccess(upstream.health, nowMs);
  }

  /** Returns the mean `tookMs` of a service's successes; undefined before the first one. */
  getMeanMs(service: string): number | undefined {
    return this.meanMs.get(service);
  }

  /**
   * Records for how long a request occupied a place of an upstream.
   *
   * @param tookMs Milliseconds from its start to the end of the answer.
   */
  recordOccupancy(id: string, tookMs: number): void {
    const service = this.upstreams.get(id)?.record.service;
    if (service === undefined) return;
    const mean = this.occupancyMs.get(service) ?? tookMs;
    this.occupancyMs.set(service, mean + (tookMs - mean) * MEAN_WEIGHT);
  }

  /**
   * Returns the mean milliseconds for which a request occupies a place of an upstream, by its
   * service and its speed; undefined before the first one.
   */
  getOccupancyMs(id: string): number | undefined {
    const upstream = this.upstreams.get(id);
    const meanMs = this.occupancyMs.get(upstream?.record.service ?? '');
    if (!upstream || meanMs === undefined) return undefined;
    const slowness = upstream.slowness.getValue(this.parts.getNow());
    return meanMs * Math.max(1, slowness);
  }

  recordFailure(id: string, kind: FailureKind): void {
    this.applyChange(id, ({health}) => ({
      health: recordFailure(
        health,
        kind,
        DEFAULT_HEALTH_POLICY,
        this.parts.getNow(),
      ),
    }));
  }

  private listRecords(service: string): RegisteredUpstream[] {
    return [...this.upstreams.values()]
      .map(({record}) => record)
      .filter(record => record.service === service);
  }

  private applyChange(
    id: string,
    change: (upstream: PooledUpstream) => Partial<PooledUpstream>,
  ): void {
    const upstream = this.upstreams.get(id);
    if (upstream) Object.assign(upstream, change(upstream));
  }
}
