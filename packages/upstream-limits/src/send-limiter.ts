import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {
  GrantDecision,
  GrantRequest,
  LimitReport,
} from '@hollowstack/types';
import {FallbackShare} from './fallback-share.ts';
import {
  computeGrantedRate,
  computeProbeRate,
  computeReleaseIntervalMs,
} from './limit-rates.ts';
import type {LimitTable} from './limit-table.ts';
import {RatePacer} from './rate-pacer.ts';
import type {SendGranter} from './send-granter.ts';

/** Requests grants from the coordinator. */
export abstract class GrantSource {
  /** Returns whether this instance is the coordinator. */
  abstract isCoordinator(): boolean;

  /** Resolves to undefined if the coordinator does not answer in time. */
  abstract askCoordinator(
    request: GrantRequest,
    limits: readonly LimitReport[],
  ): Promise<GrantDecision | undefined>;
}

/** Permission to send one request to a limited upstream. */
export interface SendGrant {
  readonly upstreamId: string;
  /** When an unused grant expires, in milliseconds of this instance's clock. */
  readonly expiresAtMs: number;
}

/** The outcome of a request for a grant. */
export type AcquireOutcome =
  | {readonly type: 'granted'; readonly grant: SendGrant}
  | {readonly type: 'refused'; readonly retryAfterMs: number};

/** Dependencies of SendLimiter. */
export interface SendLimiterParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly table: LimitTable;
  readonly granter: SendGranter;
  readonly source: GrantSource;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  /** Returns the number of live instances. */
  readonly getInstanceCount: () => number;
}

/**
 * Milliseconds for which a grant is valid. With a longer validity, grants made over several
 * seconds could be used in one burst.
 */
const GRANT_TTL_MS = 1500;
/** Minimum interval between logged refusals of a service. */
const LOG_INTERVAL_MS = 1000;
/** Mean retry delay of callers that are refused while no coordinator is reachable. */
const FALLBACK_RETRY_MS = 1000;

/** Keeps the sends of this instance within the rate limits of upstreams. */
export class SendLimiter {
  private readonly parts: SendLimiterParts;
  private readonly fallback: FallbackShare;
  private readonly probes = new Map<string, RatePacer>();
  /** When a refusal was last logged and how many followed unlogged, by service. */
  private readonly refusals = new Map<
    string,
    {atMs: number; unlogged: number}
  >();

  constructor(parts: SendLimiterParts) {
    this.parts = parts;
    this.fallback = new FallbackShare({
      getNow: () => parts.clock.getNow(),
      random: parts.random,
      getInstanceCount: parts.getInstanceCount,
    });
  }

  isLimited(upstreamId: string): boolean {
    return this.parts.table.getLimit(upstreamId) !== undefined;
  }

  /**
   * Requests a grant to send one request to one of the upstreams.
   *
   * @param isProbe Whether the request is a probe; its refusal is neither counted nor logged.
   */
  async acquireGrant(
    request: GrantRequest,
    isProbe = false,
  ): Promise<AcquireOutcome> {
    const decision = await this.askForDecision(request);
    const {upstreamId, retryAfterMs} = decision;
    if (upstreamId === undefined) {
      if (!isProbe) this.recordRefusal(request, retryAfterMs);
      return {type: 'refused', retryAfterMs};
    }
    this.countDecision(request.service, 'granted');
    const expiresAtMs = this.parts.clock.getNow() + GRANT_TTL_MS;
    return {type: 'granted', grant: {upstreamId, expiresAtMs}};
  }

  /**
   * Returns whether a limited upstream is due a probe. While unlimited upstreams are
   * available, probes detect the end of its limit.
   *
   * @param instances Number of instances that send probes.
   */
  isProbeDue(
    upstreamId: string,
    instances = this.parts.getInstanceCount(),
  ): boolean {
    const {clock, table, random} = this.parts;
    const limit = table.getLimit(upstreamId);
    if (limit === undefined) return false;
    const nowMs = clock.getNow();
    const perSecond = computeProbeRate(limit) / Math.max(1, instances);
    let pacer = this.probes.get(upstreamId);
    if (!pacer) {
      pacer = new RatePacer(nowMs - (random() * 1000) / perSecond);
      this.probes.set(upstreamId, pacer);
    }
    return pacer.getNextSendAtMs(perSecond) <= nowMs;
  }

  /** Records that a probe was sent or requested. */
  recordProbe(
    upstreamId: string,
    instances = this.parts.getInstanceCount(),
  ): void {
    const limit = this.parts.table.getLimit(upstreamId);
    const pacer = this.probes.get(upstreamId);
    if (limit === undefined || !pacer) return;
    const perSecond = computeProbeRate(limit) / Math.max(1, instances);
    pacer.recordSend(this.parts.clock.getNow(), perSecond);
  }

  /** Returns whether this instance may call an upstream now without a grant. */
  mayCall(upstreamId: string): boolean {
    const {table, granter, source} = this.parts;
    const limit = table.getLimit(upstreamId);
    if (limit === undefined) return true;
    if (source.isCoordinator()) return granter.maySend(upstreamId);
    return this.fallback.maySend(upstreamId, limit);
  }

  /** Uses up a call if one is allowed now; returns whether it was. */
  acquireCall(upstreamId: string): boolean {
    const {table, granter, source} = this.parts;
    const limit = table.getLimit(upstreamId);
    if (limit === undefined) return true;
    if (source.isCoordinator()) return granter.acquireSend(upstreamId);
    return this.fallback.acquireSend(upstreamId, limit);
  }

  /** Returns the calls per second that an upstream's limit allows; undefined without a limit. */
  getCallRate(upstreamId: string): number | undefined {
    const limit = this.parts.table.getLimit(upstreamId);
    return limit === undefined ? undefined : computeGrantedRate(limit);
  }

  /**
   * Returns the milliseconds between releases of stage results at an upstream; undefined if
   * it has no limit.
   */
  getReleaseIntervalMs(upstreamId: string): number | undefined {
    const limit = this.parts.table.getLimit(upstreamId);
    return limit === undefined ? undefined : computeReleaseIntervalMs(limit);
  }

  /** Drops the state of unregistered upstreams. */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    const registeredIds = new Set(records.map(({id}) => id));
    for (const id of this.probes.keys()) {
      if (!registeredIds.has(id)) this.probes.delete(id);
    }
    this.fallback.setUpstreams(records);
    this.parts.granter.setUpstreams(records);
  }

  private async askForDecision(request: GrantRequest): Promise<GrantDecision> {
    const {granter, source, table} = this.parts;
    if (source.isCoordinator()) return granter.acquireGrant(request);
    const limits = table.listReportsOf(request.upstreamIds);
    const decision = await source.askCoordinator(request, limits);
    return decision ?? this.judgeLocally(request);
  }

  private judgeLocally({upstreamIds}: GrantRequest): GrantDecision {
    const {table, random} = this.parts;
    const upstreamId = upstreamIds.find(id => {
      const limit = table.getLimit(id);
      return limit === undefined || this.fallback.acquireSend(id, limit);
    });
    return {upstreamId, retryAfterMs: (0.5 + random()) * FALLBACK_RETRY_MS};
  }

  private recordRefusal(
    {service, workspace, priority, upstreamIds}: GrantRequest,
    retryAfterMs: number,
  ): void {
    this.countDecision(service, 'refused');
    const nowMs = this.parts.clock.getNow();
    const logged = this.refusals.get(service) ?? {
      atMs: -Infinity,
      unlogged: 0,
    };
    if (nowMs - logged.atMs < LOG_INTERVAL_MS) {
      logged.unlogged += 1;
      return;
    }
    this.refusals.set(service, {atMs: nowMs, unlogged: 0});
    this.parts.logger.logEvent('limit.refused', {
      service,
      workspace,
      priority,
      upstreams: upstreamIds.length,
      retryAfterMs: Math.round(retryAfterMs),
      unlogged: logged.unlogged,
    });
  }

  private countDecision(
    service: string,
    decision: 'granted' | 'refused',
  ): void {
    this.parts.metrics.addToCounter('hollowstack_limited_sends_total', {
      service,
      decision,
    });
  }
}
