import type {DurationEstimator} from '@hollowstack/admission';
import type {Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import {
  computeRequestPriority,
  type RouteTable,
  type Unavailability,
} from '@hollowstack/routes';
import type {RequestQuarantine} from '@hollowstack/quarantine';
import {
  RequestStages,
  StageError,
  type StageDispatcher,
} from '@hollowstack/stages';
import type {StreamOrigins} from '@hollowstack/stream-origins';
import type {PromptPart} from '@hollowstack/types';
import type {PathConnector} from '@hollowstack/upstream-paths';
import type {AttemptRunner} from './attempt-runner.ts';
import {checkPromptParts, checkStageCounts} from './check-stated-work.ts';
import type {PolicySettings} from './gateway-settings.ts';
import type {LimitedSends} from './limited-sends.ts';
import {InputsLostError, ReleasableInputs} from './releasable-inputs.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import type {UpstreamChooser} from './upstream-chooser.ts';
import type {UpstreamPool} from './upstream-pool.ts';
import type {WindowRetryBudget} from './window-retry-budget.ts';

/** Dependencies of RequestRunner. */
export interface RequestRunnerParts {
  readonly clock: Clock;
  readonly protocol: RequestProtocol;
  readonly connector: Pick<PathConnector, 'findOutage'>;
  readonly pool: UpstreamPool;
  readonly chooser: UpstreamChooser;
  readonly attempts: AttemptRunner;
  readonly limitedSends: Pick<LimitedSends, 'reserveSend'>;
  readonly dispatcher: StageDispatcher;
  readonly retryBudget: WindowRetryBudget;
  readonly quarantine: RequestQuarantine;
  readonly streamOrigins: Pick<StreamOrigins, 'judgeResumed'>;
  readonly policy: PolicySettings;
  /** Durations of the stages of each route, as observed by this instance. */
  readonly stageDurations: DurationEstimator;
}

/**
 * Number of shared tokens from which prefilling them again costs more than moving stage
 * results between failure domains. The engine is then chosen before the stages run.
 */
const AFFINITY_FIRST_TOKENS = 4000;
/**
 * Share of the route's time-out that a caller must have left to be rejected with a request
 * to retry. A caller with less has no time for a retry and is admitted.
 */
const MIN_RETRY_TIME_SHARE = 0.1;
const NO_BYTES: ReadonlyMap<string, number> = new Map();

/** Maximum number of times that the stages of a request run again after lost results. */
const MAX_STAGE_RERUNS = 2;

/** Runs routed requests: admission, stages and the attempts at upstreams. */
export class RequestRunner {
  private readonly parts: RequestRunnerParts;

  constructor(parts: RequestRunnerParts) {
    this.parts = parts;
  }

  /** Resolves once the answer is handed to the caller's connection. @throws HollowstackError */
  async run(request: RoutedRequest, table: RouteTable): Promise<void> {
    const {protocol, retryBudget} = this.parts;
    const promptParts = request.listPromptParts(protocol);
    checkPromptParts(promptParts);
    request.promptTokens = countTokens(promptParts);
    request.sharedParts = request.listSharedParts(protocol);
    const pieceCounts = this.readPieceCounts(request);
    request.presence.waitsFor = 'admission';
    retryBudget.recordRequest(request.facts.service);
    await this.parts.quarantine.admitRequest(request);
    await this.resumeStream(request);
    request.signal.throwIfAborted();
    this.checkAvailability(request);
    await this.parts.limitedSends.reserveSend(request);
    request.signal.throwIfAborted();
    if (!pieceCounts) {
      await this.parts.attempts.run(request, {
        promptParts,
        inputBytesByDomain: NO_BYTES,
        inputs: undefined,
        excluded: new Set(),
      });
      return;
    }
    const stages = this.createStages(
      request,
      table,
      pieceCounts,
      promptParts.at(-1)?.tokens ?? 0,
    );
    try {
      // Both ask the coordinator, independently of each other.
      const [predictedMs, failureDomain] = await Promise.all([
        stages.admit(),
        this.predictFailureDomain(request, promptParts),
      ]);
      request.predictedMs = Math.round(predictedMs);
      stages.setFailureDomain(failureDomain);
      await this.runWithStages(request, stages, promptParts);
    } catch (error) {
      if (error instanceof StageError) this.recordBrokenCalls(request, error);
      throw error;
    } finally {
      request.stageDurationsText = stages.renderDurations();
      stages.releaseAll();
    }
  }

  // Returns undefined if the request has no stages.
  private readPieceCounts(
    request: RoutedRequest,
  ): readonly number[] | undefined {
    const {protocol} = this.parts;
    const value = request.getHeader(protocol.headers.stageCounts);
    const {stages} = request.facts.route;
    if (stages.length === 0 || value === undefined) return undefined;
    const pieceCounts = protocol.parseStageCounts(value);
    checkStageCounts(pieceCounts);
    return pieceCounts;
  }

  // A stream goes on only at the software version that began it.
  private async resumeStream(request: RoutedRequest): Promise<void> {
    const {requestId, service, resumedRequestId} = request.facts;
    if (resumedRequestId === undefined) return;
    const verdict = await this.parts.streamOrigins.judgeResumed({
      key: request.getStreamKey(),
      service,
      requestId,
      resumedRequestId,
    });
    if (verdict.type === 'rejected') {
      throw new HollowstackError('stream-not-resumable', verdict.reason);
    }
    request.streamVersion = verdict.version;
  }

  private recordBrokenCalls(
    request: RoutedRequest,
    {brokenCalls}: StageError,
  ): void {
    const nowMs = this.parts.clock.getNow();
    for (const {upstream, sentAgoMs, endedAgoMs} of brokenCalls) {
      this.parts.quarantine.recordBroken(request, {
        upstream,
        sentAtMs: nowMs - sentAgoMs,
        endedAtMs: nowMs - endedAgoMs,
      });
    }
  }

  // No stage runs for a request that no upstream could take afterwards.
  private checkAvailability(request: RoutedRequest): void {
    const {pool, connector} = this.parts;
    const outage = connector.findOutage();
    if (outage) {
      const {reason, retryAfterMs} = outage;
      throw new HollowstackError('upstream-unavailable', reason, {
        ran: 'no',
        retryAfterMs,
      });
    }
    const unavailability = pool.findUnavailability(
      request.facts.service,
      request.streamVersion,
    );
    if (!unavailability || this.isOverBeforeStagesEnd(unavailability, request))
      return;
    throw new HollowstackError('upstream-unavailable', unavailability.reason, {
      ran: 'no',
      retryAfterMs: unavailability.retryAfterMs,
    });
  }

  // Upstreams that back off now may accept work again when the stages are complete.
  private isOverBeforeStagesEnd(
    {waitMs}: Unavailability,
    {facts}: RoutedRequest,
  ): boolean {
    if (waitMs === undefined) return false;
    const {route} = facts;
    return waitMs < this.parts.stageDurations.getMeanMs(route.name, 0);
  }

  private async runWithStages(
    request: RoutedRequest,
    stages: RequestStages,
    promptParts: readonly PromptPart[],
  ): Promise<void> {
    const {clock, protocol, stageDurations} = this.parts;
    const startedAtMs = clock.getNow();
    const excluded = new Set<string>();
    for (let rerun = 0; ; rerun++) {
      request.presence.waitsFor = 'stages';
      const stageResults = await stages.run(request.signal);
      if (request.stagesMs === undefined) {
        request.stagesMs = Math.round(clock.getNow() - startedAtMs);
        stageDurations.recordMs(request.facts.route.name, request.stagesMs);
      }
      const handles = stageResults.results.map(({handle}) => handle);
      try {
        await this.parts.attempts.run(request, {
          promptParts,
          inputBytesByDomain: stageResults.bytesByDomain,
          inputs: new ReleasableInputs(
            protocol.renderStageInputs(handles),
            () => stages.releaseAll(),
          ),
          excluded,
          handleFirstEvent: firstMs => stages.recordFirstEvent(firstMs),
        });
        return;
      } catch (error) {
        const isLost = error instanceof InputsLostError;
        if (!isLost || rerun >= MAX_STAGE_RERUNS) throw error;
        stages.releaseAll();
      }
    }
  }

  // If much of the prompt is shared, the stages run in the failure domain of the engine that
  // has it cached: the cache saves more than running the stages in their preferred domain.
  private async predictFailureDomain(
    request: RoutedRequest,
    promptParts: readonly PromptPart[],
  ): Promise<string | undefined> {
    const shared = promptParts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
    if (sharedTokens < AFFINITY_FIRST_TOKENS) return undefined;
    const preferred = await this.parts.chooser.choose(request, {
      promptParts,
      inputBytesByDomain: NO_BYTES,
      excluded: new Set(),
      isFinal: false,
    });
    return preferred?.failureDomain;
  }

  private createStages(
    request: RoutedRequest,
    table: RouteTable,
    pieceCounts: readonly number[],
    ownTokens: number,
  ): RequestStages {
    const {clock, protocol, dispatcher, policy, stageDurations, quarantine} =
      this.parts;
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
        defersLargeStages: policy.latestStart,
        isIsolated: quarantine.isRequestSuspected(request),
        // A caller that has retried once may not retry again, so it is not rejected here.
        mayRetry:
          facts.ageMs === 0 &&
          facts.deadlineAtMs - nowMs >= MIN_RETRY_TIME_SHARE * route.timeoutMs,
      },
      dispatcher,
      clock,
      stageDurations,
    );
  }
}

function countTokens(promptParts: readonly PromptPart[]): number | undefined {
  if (promptParts.length === 0) return undefined;
  return promptParts.reduce((sum, {tokens}) => sum + tokens, 0);
}
