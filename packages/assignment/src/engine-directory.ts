import {
  getColdUntilMs,
  hasSoftwareVersion,
  isAcceptingWork,
  type RegisteredUpstream,
  type RouteTable,
  type WarmUp,
} from '@hollowstack/routes';
import {
  DEFAULT_HEALTH_POLICY,
  SendPacer,
  Slowness,
  createHealthyState,
  isCandidate,
  listByRendezvous,
  recordFailure,
  recordSuccess,
  type HealthState,
} from '@hollowstack/routing';
import type {
  AssignmentProgress,
  AssignmentRequest,
  PromptPart,
} from '@hollowstack/types';
import {
  chooseEngine,
  type AssignmentChoice,
  type EngineCandidate,
} from './engine-choice.ts';
import {PromptCacheModel} from './prompt-cache-model.ts';
import {PrefillSpeed} from './prefill-speed.ts';

interface AssignedRequest {
  readonly engine: Engine;
  readonly uncachedTokens: number;
  /** Tokens of other prompts that were queued for prefill before this one. */
  readonly tokensAhead: number;
  readonly predictedMs: number;
  /** The engine's slowness used in the prediction. */
  readonly slowness: number;
  readonly assignedAtMs: number;
  isPrefilled: boolean;
}

interface Engine {
  record: RegisteredUpstream;
  readonly cache: PromptCacheModel;
  health: HealthState;
  backlogTokens: number;
  activeCount: number;
  readonly slowness: Slowness;
  /** Paces the requests it gets while it is cold. */
  readonly coldPacer: SendPacer;
  /** End of the pause after it had no place for a request; matters if it is brittle. */
  fullUntilMs: number;
}

/**
 * Cache size of an engine if the configuration gives none; about that of the
 * engines in the first deployments.
 */
const DEFAULT_CACHE_TOKENS = 500_000;
/** Share of an engine's cache capacity that shared parts can rely on. */
const CACHE_SHARE = 0.8;
/** Weight of a new sample in the slowness of its engine; it settles after about ten requests. */
const SLOWNESS_WEIGHT = 0.2;
/** Upper bound of a slowness sample, so that one lost answer does not exclude an engine for long. */
const MAX_SLOWNESS = 10;
/** Requests with a shorter prediction give no slowness sample: they say nothing about the engine's speed. */
const MIN_PREDICTED_MS = 20;
/** Weight of a new sample in the mean slot occupancy; it settles after about twenty requests. */
const SLOT_OCCUPANCY_WEIGHT = 0.05;
/** Pause of a brittle engine that had no place for a request. */
const FULL_PAUSE_MS = 300;
/** Age at which assignments are removed whose end was never reported. */
const ASSIGNMENT_TTL_MS = 15_000;

/** The coordinator's state of all engines: assigned requests, modelled caches, health and speed. */
export class EngineDirectory {
  private readonly getNow: () => number;
  private readonly isRateLimited: (id: string) => boolean;
  private readonly isBrittle: (id: string) => boolean;
  private readonly engines = new Map<string, Engine>();
  private readonly assignments = new Map<string, AssignedRequest>();
  private readonly prefillSpeed = new PrefillSpeed();
  /** Mean time for which requests of a service occupy a slot. */
  private readonly slotOccupancyMsByService = new Map<string, number>();
  private cacheTokensByService = new Map<string, number>();
  private warmUpByService = new Map<string, WarmUp>();

  /**
   * @param isRateLimited Returns whether an engine advertises a rate limit.
   * @param isBrittle Returns whether an engine fails if it rejects too many requests.
   */
  constructor(
    getNow: () => number,
    isRateLimited: (id: string) => boolean = () => false,
    isBrittle: (id: string) => boolean = () => false,
  ) {
    this.getNow = getNow;
    this.isRateLimited = isRateLimited;
    this.isBrittle = isBrittle;
  }

  /** Applies the cache sizes and warm-ups of a newer configuration; engines already listed keep their cache size. */
  setConfiguration(table: RouteTable): void {
    this.cacheTokensByService = new Map(
      table.configuration.services.flatMap(({name, engine}) =>
        engine ? [[name, engine.cacheTokens] as const] : [],
      ),
    );
    this.warmUpByService = new Map(
      table.configuration.services.flatMap(({name, warmUp}) =>
        warmUp ? [[name, warmUp] as const] : [],
      ),
    );
  }

  /** Replaces the list of engines by the currently registered upstreams; known ones keep their state. */
  setUpstreams(records: readonly RegisteredUpstream[]): void {
    const listed = new Set(records.map(({id}) => id));
    for (const id of this.engines.keys()) {
      if (!listed.has(id)) this.engines.delete(id);
    }
    for (const record of records) {
      const engine = this.engines.get(record.id);
      if (engine) engine.record = record;
      else this.engines.set(record.id, this.createEngine(record));
    }
  }

  /** Lists the engines of a service. */
  listEngines(service: string): RegisteredUpstream[] {
    return [...this.engines.values()]
      .map(({record}) => record)
      .filter(record => record.service === service);
  }

  /** Records prompt parts that an engine reported as cached; unknown engines are ignored. */
  recordCachedParts(id: string, parts: readonly PromptPart[]): void {
    this.engines.get(id)?.cache.recordPrompt(parts);
  }

  /**
   * Chooses an engine. A final request, which is sent now, counts toward the engine's
   * load until its end is reported or the assignment expires; for any other request the
   * choice is only a forecast.
   *
   * @returns undefined if no engine may take the request.
   */
  reserveEngine(request: AssignmentRequest): AssignmentChoice | undefined {
    this.removeExpiredAssignments();
    const {parts} = request;
    const shared = parts.slice(0, -1);
    const promptTokens = countTokens(parts);
    const choice = chooseEngine({
      engines: this.listCandidates(request, shared),
      promptTokens,
      sharedTokens: countTokens(shared),
      inputBytes: new Map(
        request.inputs.map(({failureDomain, bytes}) => [failureDomain, bytes]),
      ),
      tokensPerMs: this.prefillSpeed.getTokensPerMs(request.service),
      dueInMs: request.dueInMs,
    });
    if (!choice || !request.isFinal) return choice;
    const engine = this.engines.get(choice.id)!;
    const cachedTokens = engine.cache.countCachedTokens(parts);
    const uncachedTokens = Math.max(0, promptTokens - cachedTokens);
    this.endAssignment(request.requestId);
    this.assignments.set(request.requestId, {
      engine,
      uncachedTokens,
      tokensAhead: engine.backlogTokens,
      predictedMs: choice.predictedMs,
      slowness: engine.slowness.getValue(this.getNow()),
      assignedAtMs: this.getNow(),
      isPrefilled: false,
    });
    this.recordColdSend(engine);
    engine.backlogTokens += uncachedTokens;
    engine.activeCount += 1;
    engine.cache.recordPrompt(parts);
    return choice;
  }

  /** Applies the progress that an instance reports of an assigned request. */
  recordProgress(progress: AssignmentProgress): void {
    const request = this.findAssigned(progress);
    const engine = this.engines.get(progress.upstreamId);
    if (!engine) return;
    if (progress.step === 'failed') {
      engine.health = recordFailure(
        engine.health,
        'broken',
        DEFAULT_HEALTH_POLICY,
        this.getNow(),
      );
    } else if (progress.isTurnedAway) {
      engine.fullUntilMs = this.getNow() + FULL_PAUSE_MS;
    } else {
      engine.health = recordSuccess(engine.health, this.getNow());
    }
    if (request && progress.step === 'first') {
      this.recordFirstEvent(request, progress.firstMs);
    }
    // A refused request never occupied a slot, so it gives no sample.
    if (request && progress.step === 'ended' && !progress.isTurnedAway) {
      this.recordSlotOccupancy(request);
    }
    if (request && progress.step !== 'first') {
      this.endAssignment(progress.requestId);
    }
  }

  // An instance that knows more about the engine may have sent the request to another
  // one. A first event from that engine shows this, and the assignment here is released.
  // Other steps from another engine are late reports of an earlier attempt.
  private findAssigned({
    requestId,
    upstreamId,
    step,
  }: AssignmentProgress): AssignedRequest | undefined {
    const request = this.assignments.get(requestId);
    if (request?.engine.record.id === upstreamId) return request;
    if (step === 'first') this.endAssignment(requestId);
    return undefined;
  }

  private recordSlotOccupancy({engine, assignedAtMs}: AssignedRequest): void {
    const {service} = engine.record;
    const occupiedMs = this.getNow() - assignedAtMs;
    const previousMs = this.slotOccupancyMsByService.get(service) ?? occupiedMs;
    this.slotOccupancyMsByService.set(
      service,
      previousMs + (occupiedMs - previousMs) * SLOT_OCCUPANCY_WEIGHT,
    );
  }

  private isCold({record}: Engine): boolean {
    const warmUp = this.warmUpByService.get(record.service);
    return this.getNow() < getColdUntilMs(record, warmUp);
  }

  private recordColdSend(engine: Engine): void {
    const warmUp = this.warmUpByService.get(engine.record.service);
    if (!warmUp || !this.isCold(engine)) return;
    engine.coldPacer.recordSend(this.getNow(), warmUp.requestsPerSecond);
  }

  private recordFirstEvent(
    request: AssignedRequest,
    firstMs: number | undefined,
  ): void {
    const {engine, predictedMs, uncachedTokens, tokensAhead} = request;
    this.removeBacklog(request);
    if (firstMs === undefined) return;
    this.prefillSpeed.recordPrefill(
      engine.record.service,
      tokensAhead + uncachedTokens,
      firstMs,
    );
    if (predictedMs < MIN_PREDICTED_MS) return;
    const nowMs = this.getNow();
    const baselineMs = predictedMs / request.slowness;
    const sample = Math.min(MAX_SLOWNESS, Math.max(1, firstMs / baselineMs));
    engine.slowness.recordSample(sample, nowMs);
  }

  private endAssignment(requestId: string): void {
    const request = this.assignments.get(requestId);
    if (!request) return;
    this.assignments.delete(requestId);
    this.removeBacklog(request);
    request.engine.activeCount -= 1;
  }

  private removeBacklog(request: AssignedRequest): void {
    if (request.isPrefilled) return;
    request.isPrefilled = true;
    request.engine.backlogTokens -= request.uncachedTokens;
  }

  private removeExpiredAssignments(): void {
    const expiredBeforeMs = this.getNow() - ASSIGNMENT_TTL_MS;
    for (const [id, {assignedAtMs}] of this.assignments) {
      if (assignedAtMs >= expiredBeforeMs) return;
      this.endAssignment(id);
    }
  }

  private listCandidates(
    request: AssignmentRequest,
    shared: readonly PromptPart[],
  ): EngineCandidate[] {
    const nowMs = this.getNow();
    const excluded = new Set(request.excluded);
    const usable = [...this.engines.values()].filter(
      ({record, health}) =>
        record.service === request.service &&
        isAcceptingWork(record) &&
        hasSoftwareVersion(record, request.softwareVersion) &&
        !excluded.has(record.id) &&
        isCandidate(health, nowMs),
    );
    const accepting = usable.filter(engine => this.mayAccept(engine, nowMs));
    const unlimited = accepting.filter(
      ({record}) => !this.isRateLimited(record.id),
    );
    const available = (unlimited.length > 0 ? unlimited : accepting).filter(
      engine => !this.isCold(engine) || engine.coldPacer.isDue(nowMs),
    );
    const key = shared.map(({id}) => id).join(',');
    const ranking = listByRendezvous(
      key,
      available.map(({record}) => record.id),
    );
    const ranks = new Map(ranking.map((id, rank) => [id, rank]));
    return available.map(engine => ({
      id: engine.record.id,
      failureDomain: engine.record.failureDomain,
      backlogTokens: engine.backlogTokens,
      activeCount: engine.activeCount,
      capacity: engine.record.capacity,
      slotOccupancyMs: this.slotOccupancyMsByService.get(request.service),
      cachedTokens: engine.cache.countCachedTokens(request.parts),
      slowness: engine.slowness.getValue(nowMs),
      isCold: this.isCold(engine),
      affinityRank: ranks.get(engine.record.id)!,
    }));
  }

  // A brittle engine gets no more requests than it can run, and none for a while after it had
  // no place for one.
  private mayAccept(engine: Engine, nowMs: number): boolean {
    const {record, activeCount, fullUntilMs} = engine;
    if (!this.isBrittle(record.id)) return true;
    return activeCount < record.capacity && nowMs >= fullUntilMs;
  }

  private createEngine(record: RegisteredUpstream): Engine {
    const tokens =
      this.cacheTokensByService.get(record.service) ?? DEFAULT_CACHE_TOKENS;
    return {
      record,
      cache: new PromptCacheModel(tokens * CACHE_SHARE),
      health: createHealthyState(),
      backlogTokens: 0,
      activeCount: 0,
      slowness: new Slowness(SLOWNESS_WEIGHT),
      coldPacer: new SendPacer(0),
      fullUntilMs: 0,
    };
  }
}

function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}
