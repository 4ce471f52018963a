import {
  findUnavailability,
  getColdUntilMs,
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

/** Weight of the newest request in the mean of a service. */
const MEAN_WEIGHT = 0.05;
/**
 * Bound of one sample of slowness, so that one odd answer does not rule an
 * upstream out for long.
 */
const MAX_SLOWNESS = 8;
/** Weight of the newest request in the slowness of its upstream. */
const SLOWNESS_WEIGHT = 0.15;

/**
 * Part of what a cold upstream bears that instances may send of their own accord;
 * beside it the coordinator sends the whole. Both together stay below the 1.5
 * times of it that a cold upstream bears for a second.
 */
const UNCOORDINATED_SHARE = 0.4;

/** Dependencies of UpstreamPool. */
export interface UpstreamPoolParts {
  readonly getNow: () => number;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  /** Returns how many instances share the upstreams. */
  readonly getInstanceCount: () => number;
  /** The upstreams that asked this instance for no work. */
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
  /** Spaces what this instance sends while the upstream is cold. */
  coldPacer: SendPacer | undefined;
}

/** The upstreams of all services with what this instance has learnt of them. */
export class UpstreamPool {
  private readonly parts: UpstreamPoolParts;
  private warmUps = new Map<string, WarmUp>();
  private readonly upstreams = new Map<string, PooledUpstream>();
  private readonly meanMs = new Map<string, number>();

  constructor(parts: UpstreamPoolParts) {
    this.parts = parts;
  }

  /** Takes the services of a newer configuration. */
  setConfiguration(table: RouteTable): void {
    this.warmUps = new Map(
      table.configuration.services.flatMap(({name, warmUp}) =>
        warmUp ? [[name, warmUp] as const] : [],
      ),
    );
  }

  /** Takes the upstreams that are registered now. */
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
   * Returns whether new work may go to an upstream now: it is registered, not leaving,
   * not evacuated, and has not asked this instance for none.
   */
  maySend(id: string): boolean {
    const upstream = this.upstreams.get(id);
    if (!upstream || !isAcceptingWork(upstream.record)) return false;
    return this.parts.backOffs.maySend(id);
  }

  /** As maySend, at the very send, which counts from then on. */
  acquireSend(id: string): boolean {
    return this.maySend(id) && this.parts.backOffs.acquireSend(id);
  }

  /** Returns milliseconds for which an upstream still wants no work. */
  getWaitMs(id: string): number {
    return this.parts.backOffs.getWaitMs(id);
  }

  /** Returns why no upstream of a service can take work; undefined where one can. */
  findShortage(service: string): Unavailability | undefined {
    const records = this.listRecords(service);
    return findUnavailability(service, records, id => this.getWaitMs(id));
  }

  /** Lists the upstreams of a service. */
  listIds(service: string): string[] {
    return this.listRecords(service).map(({id}) => id);
  }

  /** Lists the upstreams of a service to which this instance may send nothing now. */
  listBlocked(service: string): string[] {
    return this.listIds(service).filter(id => !this.maySend(id));
  }

  /** Lists the upstreams of a service that new work may go to. */
  listCandidates(
    service: string,
    excluded: ReadonlySet<string>,
  ): UpstreamCandidate[] {
    const nowMs = this.parts.getNow();
    const candidates: UpstreamCandidate[] = [];
    for (const upstream of this.upstreams.values()) {
      const {record, health, load, slowness} = upstream;
      if (record.service !== service || !this.maySend(record.id)) continue;
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

  /** Lists the upstreams of a service at which this instance has a request in progress. */
  listBusy(service: string): string[] {
    return [...this.upstreams.values()]
      .filter(
        ({record, load}) => record.service === service && load.ownInFlight > 0,
      )
      .map(({record}) => record.id);
  }

  /** Notes that this instance chose an upstream of its own accord. */
  recordUncoordinatedChoice(id: string): void {
    const nowMs = this.parts.getNow();
    const upstream = this.upstreams.get(id);
    const perSecond = upstream && this.getOwnRate(upstream.record, nowMs);
    if (perSecond === undefined) return;
    upstream?.coldPacer?.recordSend(nowMs, perSecond);
  }

  // The first send waits for a part of the pause between two, drawn at random:
  // instances that start or lose their coordinator together would else all send
  // at once.
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

  // Requests a second that this instance may send to a cold upstream; undefined
  // for a warm one.
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
    // A trial that neither succeeded nor failed, its caller being gone, leaves
    // the next one free.
    this.applyChange(id, ({health, load}) => ({
      health: health.state === 'trial' ? {...health, state: 'out'} : health,
      load: recordCompletion(load),
    }));
  }

  /**
   * Notes that an upstream served a request.
   *
   * @param tookMs Milliseconds to its first bytes.
   */
  recordSuccess(id: string, tookMs: number): void {
    const upstream = this.upstreams.get(id);
    if (!upstream) return;
    const {service} = upstream.record;
    const nowMs = this.parts.getNow();
    const mean = this.meanMs.get(service) ?? tookMs;
    const slowness = Math.min(MAX_SLOWNESS, tookMs / Math.max(1, mean));
    // The mean follows what a usual upstream takes, not the slow one's.
    const sample = Math.min(tookMs, 3 * mean);
    this.meanMs.set(service, mean + (sample - mean) * MEAN_WEIGHT);
    upstream.slowness.recordSample(slowness, nowMs);
    upstream.health = recordSuccess(upstream.health, nowMs);
  }

  /** Returns milliseconds to the first bytes of a usual request of a service. */
  getMeanMs(service: string): number | undefined {
    return this.meanMs.get(service);
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
