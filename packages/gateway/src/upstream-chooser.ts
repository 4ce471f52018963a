import type {FreshnessGuard} from '@hollowstack/freshness';
import type {AssignmentProgress, PromptPart} from '@hollowstack/types';
import type {AttemptOutcome} from './attempt.ts';
import type {EngineAssigner, UpstreamAssignment} from './engine-assigner.ts';
import type {LimitedSends} from './limited-sends.ts';
import type {RoutedRequest} from './routed-request.ts';
import {
  chooseRequestUpstream,
  type UpstreamCandidate,
} from './upstream-choice.ts';
import type {UpstreamPool} from './upstream-pool.ts';

/** Dependencies of UpstreamChooser. */
export interface UpstreamChooserParts {
  readonly pool: UpstreamPool;
  readonly assigner: EngineAssigner;
  readonly limitedSends: LimitedSends;
  readonly freshnessGuard: FreshnessGuard;
  readonly random: () => number;
  readonly getNow: () => number;
  /** Returns whether an upstream fails if it rejects too many requests. */
  readonly isBrittle: (id: string) => boolean;
  /** Whether engines are chosen by the slack of a request, its spare time to the objective. */
  readonly placesBySlack: boolean;
}

/** Inputs of a choice. */
export interface UpstreamChoiceOptions {
  readonly promptParts: readonly PromptPart[];
  /** Bytes of the inputs stored in each failure domain. */
  readonly inputBytesByDomain: ReadonlyMap<string, number>;
  readonly excluded: ReadonlySet<string>;
  /** Whether the request is sent now; if false, the choice is only a forecast. */
  readonly isFinal: boolean;
}

/**
 * Chooses the upstream of a request: the coordinator assigns model engines for all
 * instances, while each instance chooses among plain upstreams by itself.
 */
export class UpstreamChooser {
  private readonly parts: UpstreamChooserParts;

  constructor(parts: UpstreamChooserParts) {
    this.parts = parts;
  }

  async choose(
    request: RoutedRequest,
    options: UpstreamChoiceOptions,
  ): Promise<UpstreamAssignment | undefined> {
    const {freshnessGuard} = this.parts;
    if (freshnessGuard.isRefreshDue()) await freshnessGuard.refresh();
    const {service} = request.facts;
    const {streamVersion} = request;
    const listed = this.parts.pool.listCandidates(
      service,
      options.excluded,
      streamVersion,
    );
    const limited = await this.chooseLimited(request, options, listed);
    if (limited) return limited;
    let candidates = this.listPreferred(listed);
    if (options.promptParts.length > 0) {
      const assigned = await this.parts.assigner.askForEngine({
        requestId: request.facts.requestId,
        service,
        parts: [...options.promptParts],
        inputs: [...options.inputBytesByDomain].map(
          ([failureDomain, bytes]) => ({
            failureDomain,
            bytes,
          }),
        ),
        excluded: this.listExcluded(service, options, candidates),
        isFinal: options.isFinal,
        dueInMs: this.computeDueInMs(request, options),
        softwareVersion: streamVersion,
      });
      // The coordinator may assign an engine that is no candidate here, for example because
      // an answer to this instance has excluded it.
      const isKnown = candidates.some(({id}) => id === assigned?.id);
      if (assigned && isKnown) return assigned;
      // Without an assignment it is not known whether a brittle engine has a place left.
      candidates = candidates.filter(({id}) => !this.parts.isBrittle(id));
    }
    const chosen = chooseRequestUpstream({
      candidates,
      affinityKey: createAffinityKey(options.promptParts),
      failureDomain: chooseHeaviestDomain(options.inputBytesByDomain),
      random: this.parts.random,
    });
    if (chosen && options.isFinal)
      this.parts.pool.recordUncoordinatedChoice(chosen.id);
    return chosen;
  }

  // While unlimited upstreams are available, limited ones get only probes, which detect
  // the end of their limits. Otherwise they are used up to their limits.
  private async chooseLimited(
    request: RoutedRequest,
    {isFinal}: UpstreamChoiceOptions,
    candidates: readonly UpstreamCandidate[],
  ): Promise<UpstreamAssignment | undefined> {
    const {limitedSends, pool} = this.parts;
    const limited = candidates.filter(({id}) => limitedSends.isLimited(id));
    if (!isFinal || limited.length === 0) return undefined;
    const ids = limited
      .filter(({hasSendQuota}) => hasSendQuota)
      .map(({id}) => id);
    if (ids.length === 0) return undefined;
    const id =
      limited.length === candidates.length
        ? await limitedSends.acquireGrant(request, ids)
        : await limitedSends.acquireProbeGrant(request, ids);
    const chosen = limited.find(candidate => candidate.id === id);
    if (chosen) pool.recordUncoordinatedChoice(chosen.id);
    return chosen;
  }

  private listPreferred(
    candidates: readonly UpstreamCandidate[],
  ): readonly UpstreamCandidate[] {
    const {limitedSends} = this.parts;
    const unlimited = candidates.filter(({id}) => !limitedSends.isLimited(id));
    return unlimited.length > 0 ? unlimited : candidates;
  }

  // The coordinator may not know yet which upstreams asked this instance to back off. If it
  // assigned one of them, the slot would stay reserved until it learns of that.
  private listExcluded(
    service: string,
    {excluded}: UpstreamChoiceOptions,
    preferred: readonly UpstreamCandidate[],
  ): string[] {
    const {pool, limitedSends} = this.parts;
    const blocked = pool.listBlocked(service);
    const limited = pool
      .listIds(service)
      .filter(id => limitedSends.isLimited(id))
      .filter(id => !preferred.some(candidate => candidate.id === id));
    return [...new Set([...excluded, ...blocked, ...limited])];
  }

  // For a forecast, stages still have to run, so the time left is not known yet.
  private computeDueInMs(
    {facts}: RoutedRequest,
    {isFinal}: UpstreamChoiceOptions,
  ): number | undefined {
    const {getNow, placesBySlack} = this.parts;
    if (!placesBySlack || !isFinal) return undefined;
    return facts.dueAtMs - getNow();
  }

  /** Records the first event of an upstream's answer. */
  recordFirstEvent(
    request: RoutedRequest,
    upstreamId: string,
    firstMs: number,
  ): void {
    this.recordStep(request, upstreamId, {step: 'first', firstMs});
  }

  /** Records that an upstream exceeded the inactivity time-out. */
  recordUnresponsive(request: RoutedRequest, upstreamId: string): void {
    // A single missing answer may be a lost one; several in a row exclude the upstream.
    this.parts.pool.recordFailure(upstreamId, 'broken');
    this.recordStep(request, upstreamId, {step: 'failed'});
  }

  /** Records the outcome of an attempt. */
  recordOutcome(
    request: RoutedRequest,
    upstreamId: string,
    outcome: AttemptOutcome,
  ): void {
    const {pool} = this.parts;
    if (outcome.type === 'answered') {
      pool.recordSuccess(upstreamId, outcome.firstMs);
      this.recordStep(request, upstreamId, {step: 'ended'});
      return;
    }
    const isMisdirected = outcome.type === 'not-run' && outcome.isMisdirected;
    // A withdrawn request was not sent by decision of this instance; the upstream is not at fault.
    const isUnsent = outcome.type === 'unsent' && !outcome.isWithdrawn;
    const isUnreached = isUnsent && !outcome.hasLostConnection;
    const countsAsFailure =
      isUnsent ||
      isMisdirected ||
      (outcome.type === 'failed' &&
        !outcome.isLocallyAborted &&
        !outcome.deliverFailure);
    if (isUnreached || isMisdirected) pool.recordFailure(upstreamId, 'refused');
    else if (countsAsFailure) pool.recordFailure(upstreamId, 'broken');
    const isTurnedAway = outcome.type !== 'failed';
    const step = countsAsFailure ? 'failed' : 'ended';
    this.recordStep(request, upstreamId, {step, isTurnedAway});
  }

  /**
   * Records that an upstream did not get a request for which it was chosen, for a reason that
   * says nothing about the upstream: the path failed, or the request was given up.
   */
  recordUnsent(request: RoutedRequest, upstreamId: string): void {
    this.recordStep(request, upstreamId, {step: 'ended', isTurnedAway: true});
  }

  private recordStep(
    request: RoutedRequest,
    upstreamId: string,
    progress: Omit<AssignmentProgress, 'requestId' | 'upstreamId'>,
  ): void {
    if (!request.facts.route.hasAffinity) return;
    const {requestId} = request.facts;
    this.parts.assigner.recordProgress({requestId, upstreamId, ...progress});
  }
}

function createAffinityKey(parts: readonly PromptPart[]): string | undefined {
  // The last part is the request's or its session's own.
  const shared = parts.slice(0, -1);
  if (shared.length === 0) return undefined;
  return shared.map(({id}) => id).join(',');
}

function chooseHeaviestDomain(
  bytesByDomain: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  for (const [failureDomain, bytes] of bytesByDomain) {
    if (best === undefined || bytes > bytesByDomain.get(best)!)
      best = failureDomain;
  }
  return best;
}
