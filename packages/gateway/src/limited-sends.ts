import type {Clock} from '@hollowstack/clock';
import {computeRequestPriority} from '@hollowstack/routes';
import type {SendLimiter} from '@hollowstack/upstream-limits';
import type {RoutedRequest} from './routed-request.ts';
import {createUnavailableError} from './unavailable-error.ts';
import type {UpstreamPool} from './upstream-pool.ts';

/** Dependencies of LimitedSends. */
export interface LimitedSendsParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly limiter: Pick<
    SendLimiter,
    'isLimited' | 'acquireGrant' | 'isProbeDue' | 'recordProbe'
  >;
  readonly pool: Pick<UpstreamPool, 'listCandidates'>;
}

/**
 * Share of the remaining time that a request may wait for a grant: of the time to its
 * objective or, once its stages are complete, to its deadline.
 */
const WAIT_SHARE = 0.25;
/** Maximum wait of a request for which no stages have run. */
const MAX_WAIT_MS = 500;
/** Maximum wait of a request whose stages are complete. */
const MAX_STAGED_WAIT_MS = 1000;
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/** Acquires grants for requests to upstreams that advertise a rate limit. */
export class LimitedSends {
  private readonly parts: LimitedSendsParts;

  constructor(parts: LimitedSendsParts) {
    this.parts = parts;
  }

  isLimited(upstreamId: string): boolean {
    return this.parts.limiter.isLimited(upstreamId);
  }

  /**
   * Acquires a grant before the stages of a request run if all upstreams of its service
   * advertise a limit.
   *
   * @throws HollowstackError if no grant is available in time.
   */
  async reserveSend(request: RoutedRequest): Promise<void> {
    const {pool, limiter} = this.parts;
    const candidates = pool.listCandidates(
      request.service,
      NO_EXCLUSIONS,
      request.streamVersion,
    );
    if (candidates.length === 0) return;
    if (!candidates.every(({id}) => limiter.isLimited(id))) return;
    await this.acquireGrant(
      request,
      candidates.map(({id}) => id),
    );
  }

  /**
   * Acquires a grant for one of several limited upstreams and resolves to its id. A grant
   * that the request already holds is reused.
   *
   * @throws HollowstackError if no grant is available in time.
   */
  async acquireGrant(
    request: RoutedRequest,
    upstreamIds: readonly string[],
  ): Promise<string> {
    const {grant} = request;
    if (grant && this.hasValidGrant(request, grant.upstreamId)) {
      if (upstreamIds.includes(grant.upstreamId)) return grant.upstreamId;
    }
    const answer = await this.askForGrant(
      request,
      upstreamIds,
      this.computeMaxWaitMs(request),
    );
    if (answer.type === 'granted') return answer.grant.upstreamId;
    throw createUnavailableError(
      request,
      `all ${upstreamIds.length} remaining upstreams of ${request.service} have reached their advertised rate limits`,
      answer.retryAfterMs,
    );
  }

  /**
   * Acquires a grant for a limited upstream that is due a probe and resolves to its id;
   * undefined if there is none.
   */
  async acquireProbeGrant(
    request: RoutedRequest,
    upstreamIds: readonly string[],
  ): Promise<string | undefined> {
    const {limiter} = this.parts;
    const id = upstreamIds.find(candidate => limiter.isProbeDue(candidate));
    if (id === undefined) return undefined;
    limiter.recordProbe(id);
    const answer = await this.askForGrant(request, [id], 0, true);
    return answer.type === 'granted' ? id : undefined;
  }

  /**
   * Uses up the request's grant for an upstream, immediately before the first byte is sent;
   * returns whether the request may be sent.
   */
  takeGrant(request: RoutedRequest, upstreamId: string): boolean {
    if (!this.parts.limiter.isLimited(upstreamId)) return true;
    const isGranted = this.hasValidGrant(request, upstreamId);
    if (isGranted) request.grant = undefined;
    return isGranted;
  }

  private hasValidGrant({grant}: RoutedRequest, upstreamId: string): boolean {
    if (grant?.upstreamId !== upstreamId) return false;
    return this.parts.clock.getNow() < grant.expiresAtMs;
  }

  private async askForGrant(
    request: RoutedRequest,
    upstreamIds: readonly string[],
    maxWaitMs: number,
    isProbe = false,
  ) {
    const {route, workspace, ageMs} = request.facts;
    const grantRequest = {
      service: request.service,
      upstreamIds: [...upstreamIds],
      priority: computeRequestPriority(route, workspace),
      workspace: request.workspaceName,
      isReturning: ageMs > 0,
      maxWaitMs,
    };
    const {limiter} = this.parts;
    const answer = await limiter.acquireGrant(grantRequest, isProbe);
    if (answer.type === 'granted') request.grant = answer.grant;
    return answer;
  }

  private computeMaxWaitMs({facts, stagesMs}: RoutedRequest): number {
    const nowMs = this.parts.clock.getNow();
    if (stagesMs !== undefined) {
      const leftMs = Math.max(0, facts.deadlineAtMs - nowMs);
      return Math.min(MAX_STAGED_WAIT_MS, WAIT_SHARE * leftMs);
    }
    const dueInMs = Math.max(0, facts.dueAtMs - nowMs);
    return Math.min(MAX_WAIT_MS, WAIT_SHARE * dueInMs);
  }
}
