import {DurationEstimator} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';
import {
  findUnavailability,
  isAcceptingWork,
  type RegisteredUpstream,
  type Unavailability,
  type StageCapacity,
} from '@hollowstack/routes';
import type {OwnedResult, StageResult} from '@hollowstack/types';
import type {SendLimiter} from '@hollowstack/upstream-limits';
import type {BackOffTable} from '@hollowstack/upstream-signals';
import {ResultMemory, type StoredResult} from './result-memory.ts';
import type {ServiceTimes} from './service-times.ts';
import {StageUpstream} from './stage-upstream.ts';

/** Factor by which results may exceed the size configured for their stage. */
const RESULT_SIZE_FACTOR = 1.05;

/** The part of the back-off table that StageFleet uses. */
export type StageBackOffs = Pick<
  BackOffTable,
  'maySend' | 'acquireSend' | 'getWaitMs'
>;

/** The part of the send limiter that StageFleet uses. */
export type StageLimiter = Pick<
  SendLimiter,
  | 'isLimited'
  | 'mayCall'
  | 'acquireCall'
  | 'getCallRate'
  | 'getReleaseIntervalMs'
  | 'isProbeDue'
  | 'recordProbe'
>;

/** Dependencies of StageFleet. */
export interface StageFleetParts {
  readonly clock: Clock;
  readonly backOffs: StageBackOffs;
  readonly limiter: StageLimiter;
  /** Learned durations of calls. */
  readonly times: Pick<ServiceTimes, 'getCallMs'>;
  /** Returns whether this instance plans the calls to an upstream; all if left out. */
  readonly mayPlan?: (upstreamId: string) => boolean;
}

/** A result that a job reads, with the upstream that stores it. */
export interface StoredInput {
  readonly upstreamId: string;
  readonly result: StageResult;
}

/**
 * An upstream's result memory counts as short once at least this share of it is in use: the
 * results of a full batch may no longer fit.
 */
const SHORT_MEMORY_SHARE = 0.5;
/**
 * Minimum call slots of a service whose upstreams are all limited; avoids division by 0.
 */
const MIN_LIMITED_SLOTS = 0.01;

/** The upstreams of all stage services and their free result memory. */
export class StageFleet {
  private readonly clock: Clock;
  private readonly backOffs: StageBackOffs;
  private readonly limiter: StageLimiter;
  private readonly times: StageFleetParts['times'];
  private readonly mayPlan: (upstreamId: string) => boolean;
  private readonly resultMemory = new ResultMemory();
  private readonly retentionTimes: DurationEstimator;
  private readonly upstreams = new Map<string, StageUpstream>();
  private nextUnnamedResult = 0;
  private capacities: ReadonlyMap<string, StageCapacity> = new Map();

  constructor({
    clock,
    backOffs,
    limiter,
    times,
    mayPlan = () => true,
  }: StageFleetParts) {
    this.mayPlan = mayPlan;
    this.clock = clock;
    this.backOffs = backOffs;
    this.limiter = limiter;
    this.times = times;
    this.retentionTimes = new DurationEstimator(clock);
  }

  /** Replaces the configured capacity of each stage service. */
  setCapacities(capacities: ReadonlyMap<string, StageCapacity>): void {
    this.capacities = capacities;
  }

  /**
   * Returns the configured capacity of a service with the learned fixed duration of its
   * calls.
   */
  getCapacity(service: string): StageCapacity | undefined {
    const configured = this.capacities.get(service);
    if (!configured) return undefined;
    const callMs = this.times.getCallMs(service, configured.callMs);
    return {...configured, callMs};
  }

  /**
   * Replaces the registered upstreams. The results stored at removed ones are no longer
   * accounted for.
   */
  setUpstreams(records: readonly RegisteredUpstream[]): void {
    const listed = new Set(records.map(({id}) => id));
    for (const id of this.upstreams.keys()) {
      if (listed.has(id)) continue;
      this.upstreams.delete(id);
      this.resultMemory.removeUpstream(id);
    }
    for (const record of records) {
      const known = this.upstreams.get(record.id);
      if (known) known.record = record;
      else
        this.upstreams.set(record.id, new StageUpstream(record, this.backOffs));
    }
  }

  findUpstream(id: string): StageUpstream | undefined {
    return this.upstreams.get(id);
  }

  /**
   * Acquires permission to send a call to an upstream, right before its first byte is sent.
   *
   * @returns False if, since the call was planned, the upstream has left, has started to leave
   * or to back off, or has reached its rate limit.
   */
  acquireSend(id: string): boolean {
    const upstream = this.upstreams.get(id);
    if (!upstream || !isAcceptingWork(upstream.record)) return false;
    if (!this.backOffs.maySend(id) || !this.limiter.acquireCall(id)) {
      return false;
    }
    this.limiter.recordProbe(id, 1);
    return this.backOffs.acquireSend(id);
  }

  /**
   * Lists the upstreams of a service that a call may go to now. Limited upstreams are
   * included only if the unlimited ones cannot take all waiting pieces.
   *
   * @param waitingPieces Number of pieces that wait for a call.
   */
  listFree(
    service: string,
    capacity: StageCapacity,
    waitingPieces: number,
  ): StageUpstream[] {
    const free = this.listCallable(service, capacity);
    const unlimited = free.filter(
      ({record}) => !this.limiter.isLimited(record.id),
    );
    const needsLimited = waitingPieces > unlimited.length * capacity.batchSize;
    return needsLimited ? free : unlimited;
  }

  /**
   * Finds a limited upstream of a service that is due a probe, which detects the end of
   * its limit.
   */
  findDueProbe(
    service: string,
    capacity: StageCapacity,
  ): StageUpstream | undefined {
    return this.listCallable(service, capacity).find(({record}) =>
      this.limiter.isProbeDue(record.id, 1),
    );
  }

  /**
   * Returns why no upstream of a service can take work; undefined if one can, or if no
   * registrations are known yet.
   */
  findUnavailability(service: string): Unavailability | undefined {
    if (this.upstreams.size === 0) return undefined;
    const records = this.listOfService(service).map(({record}) => record);
    return findUnavailability(service, records, id =>
      this.backOffs.getWaitMs(id),
    );
  }

  /**
   * Returns the remaining back-off in milliseconds of the upstream at an address; 0 if none is
   * registered there, undefined if it is leaving, so that its results need not be released.
   */
  getReleaseWaitMs(address: string): number | undefined {
    for (const {record} of this.upstreams.values()) {
      if (record.address !== address) continue;
      return record.isLeaving ? undefined : this.backOffs.getWaitMs(record.id);
    }
    return 0;
  }

  /**
   * Returns the milliseconds between releases of results at an address; undefined if its
   * upstream advertises no limit.
   */
  getReleaseIntervalMs(address: string): number | undefined {
    for (const {record} of this.upstreams.values()) {
      if (record.address === address) {
        return this.limiter.getReleaseIntervalMs(record.id);
      }
    }
    return undefined;
  }

  /** Lists the upstreams of a service that take calls or have one in flight. */
  listActive(service: string): StageUpstream[] {
    const nowMs = this.clock.getNow();
    return this.listOfService(service).filter(
      upstream => upstream.isUsable(nowMs) || upstream.callsInFlight > 0,
    );
  }

  /** Returns the median slowness of a service's active upstreams. */
  getMedianSlowness(service: string): number {
    const nowMs = this.clock.getNow();
    const values = this.listActive(service)
      .map(upstream => upstream.getSlowness(nowMs))
      .sort((left, right) => left - right);
    return values[Math.floor(values.length / 2)] ?? 1;
  }

  /**
   * Counts the calls that a service can run at a time. Slow and limited upstreams count in
   * part. The minimum is 1 unless all upstreams advertise a limit.
   */
  countCallSlots(service: string): number {
    const usable = this.listUsable(service);
    const slots = usable.reduce(
      (sum, upstream) => sum + this.countUpstreamSlots(upstream),
      0,
    );
    const areAllLimited =
      usable.length > 0 &&
      usable.every(({record}) => this.limiter.isLimited(record.id));
    return Math.max(areAllLimited ? MIN_LIMITED_SLOTS : 1, slots);
  }

  private countUpstreamSlots(upstream: StageUpstream): number {
    const {id, service} = upstream.record;
    const {concurrency = 1, callMs = 0} = this.getCapacity(service) ?? {};
    const slots = concurrency / upstream.getSlowness(this.clock.getNow());
    const perSecond = this.limiter.getCallRate(id);
    if (perSecond === undefined) return slots;
    return Math.min(slots, (perSecond * callMs) / 1000);
  }

  /** Counts the bytes of result memory of the usable upstreams of a service. */
  countMemoryBytes(service: string): number {
    const nowMs = this.clock.getNow();
    const bytes =
      (this.getCapacity(service)?.resultBytes ?? 0) / RESULT_SIZE_FACTOR;
    return this.listUsable(service).reduce(
      (sum, upstream) => sum + bytes - upstream.getUntrackedBytes(nowMs),
      0,
    );
  }

  /** Counts the free bytes of an upstream's result memory. */
  countFreeBytes(upstream: StageUpstream): number {
    const {id, service} = upstream.record;
    const bytes =
      (this.getCapacity(service)?.resultBytes ?? 0) / RESULT_SIZE_FACTOR;
    const untrackedBytes = upstream.getUntrackedBytes(this.clock.getNow());
    return bytes - this.getUsedBytes(id) - untrackedBytes;
  }

  /** Returns the reserved and stored bytes at an upstream. */
  getUsedBytes(upstreamId: string): number {
    return this.resultMemory.getUsedBytes(upstreamId);
  }

  /** Counts the bytes of stored results of a service, reservations excluded. */
  countStoredBytes(service: string): number {
    return this.resultMemory.countStoredBytes(service);
  }

  /** Returns the learned mean retention of a service's results in milliseconds. */
  getRetentionMs(service: string, defaultMs: number): number {
    return this.retentionTimes.getMeanMs(service, defaultMs);
  }

  /** Reserves memory for a result before its call. */
  reserveBytes(upstreamId: string, bytes: number): void {
    this.resultMemory.reserve(upstreamId, bytes);
  }

  /** Cancels a reservation whose call produced no result. */
  cancelReservation(upstreamId: string, bytes: number): void {
    this.resultMemory.cancelReservation(upstreamId, bytes);
  }

  /** Converts a reservation to a stored result. */
  recordResult(handle: string, result: StoredResult): void {
    this.resultMemory.recordResult(handle, result);
  }

  /** Converts a reservation to a result whose handle is not known; it stays until it expires. */
  recordUnnamedResult(result: StoredResult): void {
    this.nextUnnamedResult += 1;
    this.resultMemory.recordResult(`unnamed/${this.nextUnnamedResult}`, result);
  }

  /** Finds a stored result that a call of this instance produced. */
  findStoredInput(handle: string): StoredInput | undefined {
    const upstreamId = this.resultMemory.findUpstreamId(handle);
    const record = this.upstreams.get(upstreamId ?? '')?.record;
    if (!record) return undefined;
    const {id, address, failureDomain} = record;
    return {upstreamId: id, result: {handle, address, failureDomain}};
  }

  /** Lists the stored results whose owner is known, oldest first. */
  listOwnedResults(): OwnedResult[] {
    return this.resultMemory.listOwned();
  }

  /** Returns whether a stage upstream is registered at an address. */
  hasAddress(address: string): boolean {
    return [...this.upstreams.values()].some(
      ({record}) => record.address === address,
    );
  }

  /** Returns whether at least half of an upstream's result memory is in use. */
  isShortOfMemory(upstreamId: string): boolean {
    const record = this.upstreams.get(upstreamId)?.record;
    const bytes = this.getCapacity(record?.service ?? '')?.resultBytes ?? 0;
    return this.getUsedBytes(upstreamId) >= bytes * SHORT_MEMORY_SHARE;
  }

  /** Frees the memory of released results and records their retention. */
  recordReleased(handles: readonly string[]): void {
    const nowMs = this.clock.getNow();
    for (const handle of handles) {
      const result = this.resultMemory.release(handle);
      if (!result) continue;
      this.retentionTimes.recordMs(result.service, nowMs - result.reservedAtMs);
    }
  }

  /** Removes results that have expired at their upstreams. */
  removeExpired(): void {
    this.resultMemory.removeExpired(this.clock.getNow());
  }

  private listCallable(
    service: string,
    capacity: StageCapacity,
  ): StageUpstream[] {
    const nowMs = this.clock.getNow();
    return this.listOfService(service).filter(
      upstream =>
        upstream.isFree(nowMs, capacity) &&
        this.limiter.mayCall(upstream.record.id),
    );
  }

  private listUsable(service: string): StageUpstream[] {
    const nowMs = this.clock.getNow();
    return this.listOfService(service).filter(upstream =>
      upstream.isUsable(nowMs),
    );
  }

  private listOfService(service: string): StageUpstream[] {
    return [...this.upstreams.values()].filter(
      ({record}) => record.service === service && this.mayPlan(record.id),
    );
  }
}
