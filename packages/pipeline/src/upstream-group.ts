import {DurationEstimator, RetryBudget} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  computeOccupancy,
  getSlowStartFactor,
  isCandidate,
  predictDurationMs,
  recordBackOff,
  recordDispatch,
  recordSlowness,
  recordCompletion,
  recordFailure,
  recordLeaving,
  recordLiveReport,
  recordSuccess,
  recordTrial,
  type Candidate,
  type FailureKind,
  type HealthPolicy,
  type HealthState,
} from '@hollowstack/routing';
import type {CacheEvent, LoadReport, Upstream} from '@hollowstack/types';
import type {
  GroupPolicy,
  GroupSettings,
  RoutableWork,
  UpstreamStatus,
} from './group-settings.ts';
import {PoolSlotQueue} from './pool-slot-queue.ts';
import {
  createTrackedUpstream,
  hasModel,
  hasProgressed,
  type TrackedUpstream,
} from './tracked-upstream.ts';

/** Characters that one block of an engine's prefix cache covers. */
const CACHE_BLOCK_CHARACTERS = 64;
/** Assumed age in milliseconds of a report without a timestamp. */
const ASSUMED_REPORT_LAG_MS = 5000;
/** Age in milliseconds up to which a report counts as fresh. */
const MAX_FRESH_REPORT_AGE_MS = 2500;
/** Share of a request's duration that a fully cached prompt saves. */
const CACHED_PROMPT_SAVING_SHARE = 0.5;

/** Upstreams of one pool or service, with their load, health and slots as this instance tracks them. */
export class UpstreamGroup {
  readonly slotQueue: PoolSlotQueue;
  readonly retryBudget = new RetryBudget();
  readonly durations: DurationEstimator;
  private readonly clock: Clock;
  private readonly logger: EventLogger;
  private readonly policy: HealthPolicy;
  private readonly tracked = new Map<string, TrackedUpstream>();
  private settings: GroupSettings;

  constructor(
    settings: GroupSettings,
    instanceCount: number,
    clock: Clock,
    logger: EventLogger,
    policy: GroupPolicy,
  ) {
    this.settings = settings;
    this.clock = clock;
    this.durations = new DurationEstimator(clock);
    this.logger = logger;
    this.policy = policy.healthPolicy;
    this.slotQueue = new PoolSlotQueue(
      clock,
      createBounds(settings, instanceCount),
      policy.adaptLimits,
    );
    this.setSettings(settings, instanceCount);
  }

  getSettings(): GroupSettings {
    return this.settings;
  }

  /** Applies newer settings; upstreams that remain keep their state. */
  setSettings(settings: GroupSettings, instanceCount: number): void {
    this.settings = settings;
    const wanted = new Set(settings.upstreams.map(({id}) => id));
    for (const id of this.tracked.keys()) {
      if (!wanted.has(id)) this.tracked.delete(id);
    }
    for (const upstream of settings.upstreams) this.addUpstream(upstream);
    this.slotQueue.setBounds(createBounds(settings, instanceCount));
  }

  getUpstream(id: string): Upstream | undefined {
    return this.tracked.get(id)?.upstream;
  }

  listStatuses(): UpstreamStatus[] {
    return [...this.tracked.values()].map(
      ({upstream, health, load, models}) => ({
        models,
        id: upstream.id,
        address: upstream.address,
        failureDomain: upstream.failureDomain,
        state: health.state,
        ownInFlight: load.ownInFlight,
        slowness: load.slowness,
      }),
    );
  }

  /**
   * Lists the upstreams that the work may be sent to.
   *
   * @param excluded Ids of upstreams that were tried before; ignored if no other is left.
   */
  listCandidates(
    work: RoutableWork,
    excluded: ReadonlySet<string>,
  ): Candidate[] {
    const nowMs = this.clock.getNow();
    const eligible = [...this.tracked.values()].filter(
      ({health, models}) =>
        isCandidate(health, nowMs) && hasModel(models, work.model),
    );
    const untried = eligible.filter(({upstream}) => !excluded.has(upstream.id));
    const chosen = untried.length > 0 ? untried : eligible;
    return chosen.map(tracked => ({
      id: tracked.upstream.id,
      ownInFlight: tracked.load.ownInFlight,
      predictedMs: this.predictMs(tracked, work, nowMs),
    }));
  }

  /** Predicts the shortest duration in milliseconds; undefined if there is no candidate. */
  predictBestMs(work: RoutableWork): number | undefined {
    const candidates = this.listCandidates(work, new Set());
    if (candidates.length === 0) return undefined;
    return Math.min(...candidates.map(({predictedMs}) => predictedMs));
  }

  /** Predicts the duration in milliseconds at an upstream without other load. */
  predictUnloadedMs(work: RoutableWork): number {
    const defaultMs = this.settings.expectedMs * work.units;
    return this.durations.getMeanMs(getUnloadedKey(work), defaultMs);
  }

  /**
   * Records that work is sent to an upstream.
   *
   * @returns The upstream's other load at that time, divided by its slots.
   */
  recordDispatch(id: string): number {
    let occupancy = 0;
    this.applyChange(id, tracked => {
      occupancy = computeOccupancy(tracked.load, this.settings.slots);
      tracked.load = recordDispatch(tracked.load);
      tracked.health = recordTrial(tracked.health);
    });
    return occupancy;
  }

  /**
   * Records that an upstream completed work.
   *
   * @param occupancy Return value of recordDispatch for this work.
   */
  recordSuccess(
    id: string,
    work: RoutableWork,
    durationMs: number,
    occupancy: number,
  ): void {
    const unloadedMs = durationMs / (1 + occupancy);
    const slowness = unloadedMs / Math.max(1, this.predictUnloadedMs(work));
    this.durations.recordMs(getUnloadedKey(work), unloadedMs);
    this.applyChange(id, tracked => {
      tracked.load = recordSlowness(recordCompletion(tracked.load), slowness);
      tracked.health = recordSuccess(tracked.health, this.clock.getNow());
    });
  }

  /** Records that a chunk of any response arrived from an upstream. */
  recordChunk(id: string): void {
    const tracked = this.tracked.get(id);
    if (tracked) tracked.lastByteAtMs = this.clock.getNow();
  }

  /**
   * Returns the time of an upstream's last activity: a byte of any response, or
   * now if a fresh report shows that it makes progress and has queued work.
   */
  getLastActivityAtMs(id: string): number {
    const tracked = this.tracked.get(id);
    if (!tracked) return 0;
    const isBusy =
      this.isProgressing(id) && (tracked.report?.report.queued ?? 0) > 0;
    return isBusy ? this.clock.getNow() : tracked.lastByteAtMs;
  }

  /** Returns whether a fresh report shows that an upstream completes work. */
  isProgressing(id: string): boolean {
    const received = this.tracked.get(id)?.report;
    if (!received) return false;
    const ageMs = this.clock.getNow() - received.receivedAtMs;
    return received.isProgressing && ageMs <= MAX_FRESH_REPORT_AGE_MS;
  }

  /** Records that work failed at an upstream. */
  recordFailure(id: string, kind: FailureKind): void {
    this.applyChange(id, tracked => {
      tracked.load = recordCompletion(tracked.load);
      tracked.health = recordFailure(
        tracked.health,
        kind,
        this.policy,
        this.clock.getNow(),
      );
    });
  }

  /**
   * Records that an attempt was cancelled before its work finished. If the work
   * has already taken longer than the upstream's slowness explains, it raises
   * the slowness as completed work does. Otherwise an upstream that is too slow
   * for any deadline would never be detected.
   */
  recordUnfinished(
    id: string,
    work: RoutableWork,
    elapsedMs: number,
    occupancy: number,
  ): void {
    const slowness =
      elapsedMs / (1 + occupancy) / Math.max(1, this.predictUnloadedMs(work));
    this.applyChange(id, tracked => {
      if (slowness <= tracked.load.slowness) return;
      tracked.load = recordSlowness(tracked.load, slowness);
    });
  }

  /** Records that this instance cancelled work; this does not count against the upstream. */
  recordCancelled(id: string): void {
    this.applyChange(id, tracked => {
      tracked.load = recordCompletion(tracked.load);
      // A cancelled trial is inconclusive, so the next request is a trial again.
      if (tracked.health.state === 'trial') {
        tracked.health = {...tracked.health, state: 'out'};
      }
    });
  }

  /**
   * Records that an upstream refused work because it is leaving or full.
   *
   * @param backOffMs Back-off in milliseconds that the upstream asked for; 0 if it named none.
   */
  recordNotRun(id: string, backOffMs: number): void {
    this.applyChange(id, tracked => {
      tracked.load = recordCompletion(tracked.load);
      const nowMs = this.clock.getNow();
      tracked.health = recordBackOff(tracked.health, backOffMs, nowMs);
    });
  }

  /** Records whether the platform's instance list reports an upstream as leaving. */
  recordListedState(id: string, isLeaving: boolean): void {
    this.applyChange(id, tracked => {
      tracked.isListedLeaving = isLeaving;
      if (!isLeaving) return;
      tracked.health = recordLeaving(tracked.health, this.clock.getNow());
    });
  }

  /** Records a load report that has arrived. */
  recordReport(id: string, report: LoadReport): void {
    this.applyChange(id, tracked => {
      const nowMs = this.clock.getNow();
      tracked.report = {
        report,
        receivedAtMs: nowMs,
        isProgressing: hasProgressed(tracked.report?.report, report),
      };
      if (report.models) tracked.models = report.models;
      const isLeaving = report.state === 'leaving' || tracked.isListedLeaving;
      const reportAtMs = report.atMs ?? nowMs - ASSUMED_REPORT_LAG_MS;
      tracked.health = isLeaving
        ? recordLeaving(tracked.health, nowMs)
        : recordLiveReport(tracked.health, this.policy, reportAtMs, nowMs);
    });
    this.slotQueue.recordReportedQueuedPerSlot(
      this.computeReportedQueuedPerSlot(),
    );
  }

  /** Records cache events that have arrived. */
  recordCacheEvents(id: string, events: readonly CacheEvent[]): void {
    this.tracked.get(id)?.cache.applyEvents(events);
  }

  /** Returns the sequence number of the last cache event from an upstream; 0 before the first. */
  getLastCacheSequence(id: string): number {
    return this.tracked.get(id)?.cache.getLastSequence() ?? 0;
  }

  private computeReportedQueuedPerSlot(): number {
    const reports = [...this.tracked.values()]
      .map(({report}) => report?.report)
      .filter(report => report !== undefined);
    if (reports.length === 0) return 0;
    const queued = reports.reduce((sum, report) => sum + report.queued, 0);
    return queued / (reports.length * this.settings.slots);
  }

  private addUpstream(upstream: Upstream): void {
    const existing = this.tracked.get(upstream.id);
    if (existing && existing.upstream.address === upstream.address) {
      existing.upstream = upstream;
      return;
    }
    this.tracked.set(upstream.id, createTrackedUpstream(upstream));
  }

  private predictMs(
    tracked: TrackedUpstream,
    work: RoutableWork,
    nowMs: number,
  ): number {
    const {load, health, cache} = tracked;
    const {slots} = this.settings;
    const unloadedMs = this.predictUnloadedMs(work);
    const loadedMs = predictDurationMs(load, unloadedMs, slots);
    const startFactor = getSlowStartFactor(health, this.policy, nowMs);
    const {prompt} = work;
    if (prompt === undefined || prompt.length === 0) {
      return loadedMs / startFactor;
    }
    const cached = cache.predictCachedCharacters(
      prompt,
      CACHE_BLOCK_CHARACTERS,
    );
    const saving = CACHED_PROMPT_SAVING_SHARE * (cached / prompt.length);
    return (loadedMs * (1 - saving)) / startFactor;
  }

  private applyChange(
    id: string,
    change: (tracked: TrackedUpstream) => void,
  ): void {
    const tracked = this.tracked.get(id);
    if (!tracked) return;
    const before = tracked.health.state;
    change(tracked);
    this.logTransition(id, before, tracked.health.state);
  }

  private logTransition(
    id: string,
    before: HealthState['state'],
    after: HealthState['state'],
  ): void {
    if (before === after) return;
    const pool = this.settings.name;
    if (after === 'healthy') {
      this.logger.logEvent('upstream.back', {pool, upstream: id});
    } else if (before === 'healthy') {
      this.logger.logEvent('upstream.out', {pool, upstream: id, state: after});
    }
  }
}

// Each instance starts with 1.5 times its even share of the pool, since callers
// rarely spread evenly; the adaptive limit corrects it from there.
function createBounds(settings: GroupSettings, instanceCount: number) {
  const totalSlots = settings.upstreams.length * settings.slots;
  const evenShare = totalSlots / Math.max(1, instanceCount);
  return {
    initial: Math.max(1, Math.ceil(evenShare * 1.5)),
    min: Math.max(1, Math.floor(evenShare / 4)),
    max: Math.max(1, totalSlots),
  };
}

function getUnloadedKey({classKey}: RoutableWork): string {
  return `${classKey}/empty`;
}
