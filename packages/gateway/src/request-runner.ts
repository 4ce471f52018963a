import type {Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import {isRepeatable} from '@hollowstack/routes';
import {RequestStages, type StageDispatcher} from '@hollowstack/stages';
import {Attempt, type AttemptOutcome, type AttemptParts} from './attempt.ts';
import type {PromptPart, RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import {chooseRequestUpstream} from './upstream-choice.ts';
import type {UpstreamPool} from './upstream-pool.ts';
import type {WindowRetryBudget} from './window-retry-budget.ts';

/** What the runner works with. */
export interface RequestRunnerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly protocol: RequestProtocol;
  readonly pool: UpstreamPool;
  readonly dispatcher: StageDispatcher;
  readonly retryBudget: WindowRetryBudget;
  readonly random: () => number;
  readonly zone: string;
}

/** Connections that may fail to stand before a request is refused. */
const MAX_UNSENT = 3;
/**
 * Shared tokens from which on reading them again costs more than moving stage
 * results between failure domains: the upstream is then chosen first.
 */
const AFFINITY_FIRST_TOKENS = 4000;

/** Runs one routed request: its stages, its upstream, and further attempts where they may be. */
export class RequestRunner {
  private readonly parts: RequestRunnerParts;

  constructor(parts: RequestRunnerParts) {
    this.parts = parts;
  }

  /** Resolves once the answer is on its way to its end. @throws HollowstackError */
  async run(request: RoutedRequest): Promise<void> {
    const {protocol} = this.parts;
    const shared = request.listSharedParts(protocol);
    const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
    const affinityKey = createAffinityKey(shared);
    const isUpstreamFirst = sharedTokens >= AFFINITY_FIRST_TOKENS;
    const home = isUpstreamFirst
      ? this.chooseUpstream(request, affinityKey, undefined, new Set())
      : undefined;
    const stages = this.createStages(request, home?.zone);
    if (!stages) {
      await this.runAttempts(request, affinityKey, undefined, undefined);
      return;
    }
    try {
      const startedAtMs = this.parts.clock.getNow();
      const inputs = await stages.run(request.signal);
      request.stagesMs = Math.round(this.parts.clock.getNow() - startedAtMs);
      const zone = isUpstreamFirst
        ? undefined
        : chooseHeaviestZone(inputs.bytesByZone);
      const handles = inputs.results.map(({handle}) => handle);
      await this.runAttempts(request, affinityKey, zone, {
        header: protocol.renderStageInputs(handles),
        release: () => stages.releaseAll(),
      });
    } finally {
      stages.releaseAll();
    }
  }

  private createStages(
    request: RoutedRequest,
    zone: string | undefined,
  ): RequestStages | undefined {
    const {clock, protocol, dispatcher} = this.parts;
    const {facts} = request;
    const counts = request.getHeader(protocol.headers.stageCounts);
    if (facts.route.stages.length === 0 || counts === undefined)
      return undefined;
    const nowMs = clock.getNow();
    const {route} = facts;
    return new RequestStages(
      {
        requestId: facts.requestId,
        route,
        pieceCounts: protocol.parseStageCounts(counts),
        key: request.getHeader(protocol.headers.stageKey),
        dueInMs: facts.arrivedAtMs + route.objectiveMs - nowMs,
        remainingMs: facts.deadlineAtMs - nowMs,
        priority: facts.workspace?.priority ?? route.priority,
        zone,
      },
      dispatcher,
      () => clock.getNow(),
    );
  }

  private chooseUpstream(
    request: RoutedRequest,
    affinityKey: string | undefined,
    zone: string | undefined,
    excluded: ReadonlySet<string>,
  ) {
    const {pool, random} = this.parts;
    return chooseRequestUpstream({
      candidates: pool.listCandidates(request.facts.service, excluded),
      affinityKey,
      zone,
      random,
    });
  }

  private async runAttempts(
    request: RoutedRequest,
    affinityKey: string | undefined,
    zone: string | undefined,
    inputs: AttemptParts['inputs'],
  ): Promise<void> {
    const {retryBudget, logger} = this.parts;
    const {facts} = request;
    const excluded = new Set<string>();
    let unsentCount = 0;
    retryBudget.recordRequest(facts.service);
    for (;;) {
      request.signal.throwIfAborted();
      const upstream = this.chooseUpstream(
        request,
        affinityKey,
        zone,
        excluded,
      );
      if (!upstream) throw this.createUnavailable(request, 'no upstream left');
      const outcome = await this.attemptOnce(request, upstream.id, inputs);
      if (outcome.type === 'answered') return;
      excluded.add(upstream.id);
      logger.logEvent('attempt.failed', {
        requestId: facts.requestId,
        service: facts.service,
        upstream: upstream.id,
        attempt: request.sentTo.length,
        outcome: outcome.type,
        reason: outcome.reason,
      });
      request.signal.throwIfAborted();
      if (outcome.type === 'unsent') {
        unsentCount += 1;
        if (unsentCount < MAX_UNSENT) continue;
      } else if (this.mayRetry(request, outcome)) {
        continue;
      }
      if (outcome.type === 'failed' && outcome.passOn) {
        outcome.passOn();
        return;
      }
      throw this.createUnavailable(request, outcome.reason);
    }
  }

  private async attemptOnce(
    request: RoutedRequest,
    upstreamId: string,
    inputs: AttemptParts['inputs'],
  ): Promise<AttemptOutcome> {
    const {clock, protocol, pool} = this.parts;
    const upstream = pool.getRecord(upstreamId);
    if (!upstream) return {type: 'unsent', reason: 'the upstream is gone'};
    const attempt = new Attempt({
      clock,
      protocol,
      request,
      upstream,
      inputs,
    });
    pool.beginRequest(upstreamId);
    try {
      const outcome = await attempt.run();
      this.recordOutcome(upstreamId, outcome);
      return outcome;
    } finally {
      pool.endRequest(upstreamId);
    }
  }

  private recordOutcome(id: string, outcome: AttemptOutcome): void {
    const {pool} = this.parts;
    if (outcome.type === 'answered') pool.recordSuccess(id, outcome.firstMs);
    else if (outcome.type === 'unsent') pool.recordFailure(id, 'refused');
    else if (outcome.type === 'failed' && !outcome.isOwnEnd) {
      pool.recordFailure(id, 'broken');
    }
  }

  private mayRetry(
    request: RoutedRequest,
    outcome: Exclude<AttemptOutcome, {type: 'answered'}>,
  ): boolean {
    const {facts} = request;
    if (request.sentTo.length >= facts.route.maxAttempts) return false;
    if (outcome.type === 'failed') {
      if (!isRepeatable(facts.route) || outcome.isOwnEnd) return false;
      if (request.outgoing.headersSent && !facts.route.isResumable)
        return false;
    }
    return this.parts.retryBudget.acquireRetry(facts.service);
  }

  private createUnavailable(
    request: RoutedRequest,
    reason: string,
  ): HollowstackError {
    const ran = request.getRan();
    return new HollowstackError(
      ran === 'no' ? 'upstream-unavailable' : 'upstream-failed',
      reason,
      {ran, retryAfterMs: ran === 'no' ? RETRY_AFTER_MS : undefined},
    );
  }
}

const RETRY_AFTER_MS = 300;

function createAffinityKey(shared: readonly PromptPart[]): string | undefined {
  if (shared.length === 0) return undefined;
  return shared.map(({id}) => id).join(',');
}

function chooseHeaviestZone(
  bytesByZone: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  for (const [zone, bytes] of bytesByZone) {
    if (best === undefined || bytes > bytesByZone.get(best)!) best = zone;
  }
  return best;
}
