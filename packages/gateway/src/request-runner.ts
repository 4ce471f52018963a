import type {DurationEstimator} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import {
  computeRequestPriority,
  isRepeatable,
  type RouteTable,
  type Shortage,
} from '@hollowstack/routes';
import {RequestStages, type StageDispatcher} from '@hollowstack/stages';
import type {PromptPart} from '@hollowstack/types';
import type {UpstreamSignals} from '@hollowstack/upstream-signals';
import {Attempt, type AttemptInputs, type AttemptOutcome} from './attempt.ts';
import type {PolicySettings} from './gateway-settings.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import type {UpstreamChooser} from './upstream-chooser.ts';
import type {UpstreamPool} from './upstream-pool.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import type {WindowRetryBudget} from './window-retry-budget.ts';

/** What the runner works with. */
export interface RequestRunnerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly protocol: RequestProtocol;
  readonly pool: UpstreamPool;
  readonly registry: Pick<UpstreamRegistry, 'getState'>;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  readonly chooser: UpstreamChooser;
  readonly dispatcher: StageDispatcher;
  readonly retryBudget: WindowRetryBudget;
  readonly policy: PolicySettings;
  /** How long the stages of each route take, as this instance has seen. */
  readonly stageDurations: DurationEstimator;
}

/** Connections that may fail to stand before a request is refused. */
const MAX_UNSENT = 8;
/**
 * Shared tokens from which on reading them again costs more than moving stage
 * results between failure domains: the upstream is then chosen first.
 */
const AFFINITY_FIRST_TOKENS = 4000;
/**
 * Milliseconds after which to come back where no upstream is left; about one
 * trial of an upstream that was out. A guess.
 */
const RETRY_AFTER_MS = 300;
/** Milliseconds without an event after which the engine of a stream counts as silent. */
const STREAM_SILENCE_MS = 1500;
/**
 * Share of the route's time that a caller must have left to be told to come
 * back; one that has less is let in, since it has no time for another attempt.
 */
const COME_BACK_SHARE = 0.1;
/**
 * Milliseconds of silence that no plain upstream is blamed for; several
 * times the usual work. A guess.
 */
const MIN_SILENCE_MS = 100;
/** Times of what is usual, and share of the objective, for a plain answer. */
const SILENCE_FACTOR = 2.5;
/**
 * Share of the objective after which a silent plain upstream is given up;
 * what is left suffices for another one.
 */
const SILENCE_SHARE = 0.6;
const NO_BYTES: ReadonlyMap<string, number> = new Map();

/** Times that the stages of one request run again after their results were lost. */
const MAX_STAGE_RERUNS = 2;

interface AttemptNeeds {
  readonly parts: readonly PromptPart[];
  readonly inputBytes: ReadonlyMap<string, number>;
  readonly inputs: ReleasableInputs | undefined;
  /** Upstreams that have failed the request. */
  readonly excluded: Set<string>;
  /** Called with the milliseconds from a send to the first event. */
  readonly handleFirst?: (firstMs: number) => void;
}

/** Inputs of an attempt that know whether they were released. */
class ReleasableInputs implements AttemptInputs {
  readonly header: string;
  isReleased = false;
  private readonly releaseResults: () => void;

  constructor(header: string, releaseResults: () => void) {
    this.header = header;
    this.releaseResults = releaseResults;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.releaseResults();
  }
}

/** Runs one routed request: its stages, its upstream, and further attempts where they may be. */
export class RequestRunner {
  private readonly parts: RequestRunnerParts;

  constructor(parts: RequestRunnerParts) {
    this.parts = parts;
  }

  /** Resolves once the answer is on its way to its end. @throws HollowstackError */
  async run(request: RoutedRequest, table: RouteTable): Promise<void> {
    const {protocol, retryBudget} = this.parts;
    const parts = request.listPromptParts(protocol);
    request.promptTokens = countTokens(parts);
    const counts = request.getHeader(protocol.headers.stageCounts);
    retryBudget.recordRequest(request.facts.service);
    this.checkShortage(request);
    if (request.facts.route.stages.length === 0 || counts === undefined) {
      await this.runAttempts(request, {
        parts,
        inputBytes: NO_BYTES,
        inputs: undefined,
        excluded: new Set(),
      });
      return;
    }
    const stages = this.createStages(
      request,
      table,
      protocol.parseStageCounts(counts),
      parts.at(-1)?.tokens ?? 0,
    );
    try {
      // Both ask the coordinator, neither needs the other's answer.
      const [predictedMs, failureDomain] = await Promise.all([
        stages.admit(),
        this.predictFailureDomain(request, parts),
      ]);
      request.predictedMs = Math.round(predictedMs);
      stages.setFailureDomain(failureDomain);
      await this.runWithStages(request, stages, parts);
    } finally {
      request.stageDurations = stages.renderDurations();
      stages.releaseAll();
    }
  }

  // Nothing is made for a request that no upstream could take in the end.
  private checkShortage(request: RoutedRequest): void {
    const {pool} = this.parts;
    const shortage = pool.findShortage(request.facts.service);
    if (!shortage || this.isOverBefore(shortage, request)) return;
    throw new HollowstackError('upstream-unavailable', shortage.reason, {
      ran: 'no',
      retryAfterMs: shortage.retryAfterMs,
    });
  }

  // Upstreams that want no work now may want some by the time the stages are done.
  private isOverBefore({waitMs}: Shortage, {facts}: RoutedRequest): boolean {
    if (waitMs === undefined) return false;
    const {route} = facts;
    return waitMs < this.parts.stageDurations.getMeanMs(route.name, 0);
  }

  private async runWithStages(
    request: RoutedRequest,
    stages: RequestStages,
    parts: readonly PromptPart[],
  ): Promise<void> {
    const {clock, protocol, stageDurations} = this.parts;
    const startedAtMs = clock.getNow();
    const excluded = new Set<string>();
    for (let rerun = 0; ; rerun++) {
      const made = await stages.run(request.signal);
      if (request.stagesMs === undefined) {
        request.stagesMs = Math.round(clock.getNow() - startedAtMs);
        stageDurations.recordMs(request.facts.route.name, request.stagesMs);
      }
      const handles = made.results.map(({handle}) => handle);
      try {
        await this.runAttempts(request, {
          parts,
          inputBytes: made.bytesByDomain,
          inputs: new ReleasableInputs(
            protocol.renderStageInputs(handles),
            () => stages.releaseAll(),
          ),
          excluded,
          handleFirst: firstMs => stages.recordFirst(firstMs),
        });
        return;
      } catch (error) {
        const isLost = error instanceof InputsLostError;
        if (!isLost || rerun >= MAX_STAGE_RERUNS) throw error;
        stages.releaseAll();
      }
    }
  }

  // Where much of the prompt is shared, the engine that keeps it is worth more
  // than where the stages would like to run.
  private async predictFailureDomain(
    request: RoutedRequest,
    parts: readonly PromptPart[],
  ): Promise<string | undefined> {
    const shared = parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
    if (sharedTokens < AFFINITY_FIRST_TOKENS) return undefined;
    const home = await this.parts.chooser.choose(request, {
      parts,
      inputBytes: NO_BYTES,
      excluded: new Set(),
      isFinal: false,
    });
    return home?.failureDomain;
  }

  private createStages(
    request: RoutedRequest,
    table: RouteTable,
    pieceCounts: readonly number[],
    ownTokens: number,
  ): RequestStages {
    const {clock, protocol, dispatcher, policy, stageDurations} = this.parts;
    const {facts} = request;
    const nowMs = clock.getNow();
    const {route} = facts;
    return new RequestStages(
      {
        requestId: facts.requestId,
        route,
        capacities: route.stages.map(
          ({service}) => table.getService(service)?.stage,
        ),
        pieceCounts,
        key: request.getHeader(protocol.headers.stageKey),
        dueInMs: facts.dueAtMs - nowMs,
        remainingMs: facts.deadlineAtMs - nowMs,
        priority: computeRequestPriority(route, facts.workspace),
        ownTokens,
        startsLate: policy.latestStart,
        // A caller that came back once may not do so again.
        mayComeBack:
          facts.ageMs === 0 &&
          facts.deadlineAtMs - nowMs >= COME_BACK_SHARE * route.timeoutMs,
      },
      dispatcher,
      clock,
      stageDurations,
    );
  }

  private async runAttempts(
    request: RoutedRequest,
    needs: AttemptNeeds,
  ): Promise<void> {
    const {retryBudget, chooser} = this.parts;
    const {parts, inputBytes, inputs, excluded} = needs;
    let unsentCount = 0;
    for (;;) {
      request.signal.throwIfAborted();
      const upstream =
        this.findOnlyUpstream(request) ??
        (await chooser.choose(request, {
          parts,
          inputBytes,
          excluded,
          isFinal: true,
        }));
      request.signal.throwIfAborted();
      if (!upstream) throw this.createNoneLeft(request);
      const outcome = await this.attemptOnce(request, upstream.id, needs);
      if (outcome.type === 'answered') return;
      this.logFailure(request, upstream.id, outcome);
      request.signal.throwIfAborted();
      if (outcome.type === 'not-run' && outcome.isInputGone) {
        if (retryBudget.acquireRetry(request.facts.service)) {
          throw new InputsLostError(outcome.reason, request);
        }
        throw createUnavailable(request, outcome.reason);
      }
      excluded.add(upstream.id);
      if (isUnsent(outcome)) {
        unsentCount += 1;
        if (unsentCount < MAX_UNSENT) continue;
      } else if (this.mayRetry(request, outcome)) {
        if (!inputs?.isReleased) continue;
        throw new InputsLostError(outcome.reason, request);
      }
      if (outcome.type === 'failed' && outcome.passOn) {
        outcome.passOn();
        return;
      }
      const shortage = this.parts.pool.findShortage(request.facts.service);
      throw createUnavailable(request, outcome.reason, shortage?.retryAfterMs);
    }
  }

  private createNoneLeft(request: RoutedRequest): HollowstackError {
    const shortage = this.parts.pool.findShortage(request.facts.service);
    return createUnavailable(
      request,
      shortage?.reason ?? 'no upstream left',
      shortage?.retryAfterMs,
    );
  }

  // A request that may go to no further upstream goes to the same one again,
  // once its lost inputs are made.
  private findOnlyUpstream(request: RoutedRequest): {id: string} | undefined {
    const {pool} = this.parts;
    const {route} = request.facts;
    if (request.sentTo.length < route.maxAttempts) return undefined;
    const upstream = pool.getRecord(request.sentTo[0]);
    if (!upstream || pool.maySend(upstream.id)) return upstream;
    const waitMs = pool.getWaitMs(upstream.id);
    throw createUnavailable(
      request,
      waitMs > 0
        ? 'the only upstream that may still get it wants no work'
        : 'the only upstream that may still get it is leaving',
      waitMs || undefined,
    );
  }

  private async attemptOnce(
    request: RoutedRequest,
    upstreamId: string,
    {inputs, handleFirst}: AttemptNeeds,
  ): Promise<AttemptOutcome> {
    const {clock, protocol, pool, registry, signals, chooser, policy} =
      this.parts;
    const upstream = pool.getRecord(upstreamId);
    request.registryState = registry.getState();
    if (!upstream || !pool.maySend(upstreamId)) {
      const reason = 'the upstream is gone or wants no work';
      return {type: 'unsent', reason, isWithdrawn: true};
    }
    const attempt = new Attempt({
      clock,
      protocol,
      request,
      upstream,
      signals,
      acquireSend: () => pool.acquireSend(upstreamId),
      inputs,
      releasesAtFirst: policy.earlyRelease || !request.facts.route.isResumable,
      handleFirst: firstMs => {
        request.recordFirst(clock.getNow());
        chooser.recordFirst(request, upstreamId, firstMs);
        handleFirst?.(firstMs);
      },
      silence: {
        limitMs: this.computeSilenceMs(request),
        handleSilence: () => this.handleSilence(request, upstreamId),
      },
    });
    pool.beginRequest(upstreamId);
    try {
      const outcome = await attempt.run();
      chooser.recordOutcome(request, upstreamId, outcome);
      return outcome;
    } finally {
      pool.endRequest(upstreamId);
    }
  }

  private computeSilenceMs(request: RoutedRequest): number {
    const {route, service} = request.facts;
    if (route.repeatability === 'stream') return STREAM_SILENCE_MS;
    const usualMs = this.parts.pool.getMeanMs(service) ?? 0;
    return Math.max(
      MIN_SILENCE_MS,
      SILENCE_FACTOR * usualMs,
      SILENCE_SHARE * route.objectiveMs,
    );
  }

  private handleSilence(request: RoutedRequest, upstreamId: string): boolean {
    const {chooser, pool, retryBudget} = this.parts;
    const {route, service} = request.facts;
    chooser.recordSilence(request, upstreamId);
    const hasAttempt = request.sentTo.length < route.maxAttempts;
    if (!hasAttempt || !isRepeatable(route)) return false;
    const others = pool.listCandidates(service, new Set(request.sentTo));
    return others.length > 0 && retryBudget.hasRetry(service);
  }

  private mayRetry(
    request: RoutedRequest,
    outcome: Exclude<AttemptOutcome, {type: 'answered'}>,
  ): boolean {
    const {route, service} = request.facts;
    if (request.sentTo.length >= route.maxAttempts) return false;
    if (outcome.type === 'failed') {
      if (!isRepeatable(route) || outcome.isOwnEnd) return false;
      if (request.outgoing.headersSent && !route.isResumable) return false;
    }
    return this.parts.retryBudget.acquireRetry(service);
  }

  private logFailure(
    request: RoutedRequest,
    upstreamId: string,
    outcome: Exclude<AttemptOutcome, {type: 'answered'}>,
  ): void {
    const {requestId, service} = request.facts;
    this.parts.logger.logEvent('attempt.failed', {
      requestId,
      service,
      upstream: upstreamId,
      attempt: request.sentTo.length,
      outcome: outcome.type,
      reason: outcome.reason,
    });
  }
}

/** The next attempt needs stage results that are gone, and may be made. */
class InputsLostError extends HollowstackError {
  constructor(reason: string, request: RoutedRequest) {
    super('upstream-unavailable', reason, {
      ran: request.getRan(),
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}

function countTokens(parts: readonly PromptPart[]): number | undefined {
  if (parts.length === 0) return undefined;
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

// An upstream that was not there has not been sent anything.
function isUnsent(outcome: AttemptOutcome): boolean {
  return (
    outcome.type === 'unsent' ||
    (outcome.type === 'not-run' && outcome.isOtherUpstream)
  );
}

function createUnavailable(
  request: RoutedRequest,
  reason: string,
  retryAfterMs = RETRY_AFTER_MS,
): HollowstackError {
  const ran = request.getRan();
  return new HollowstackError(
    ran === 'no' ? 'upstream-unavailable' : 'upstream-failed',
    reason,
    {ran, retryAfterMs: ran === 'no' ? retryAfterMs : undefined},
  );
}
