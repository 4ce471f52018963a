import type {GrantDecision, GrantRequest} from '@hollowstack/types';
import {computeGrantedRate} from './limit-rates.ts';
import {RatePacer} from './rate-pacer.ts';

/** Dependencies of SendQueue. */
export interface SendQueueParts {
  /** Returns an upstream's limit in requests per second; undefined if it has none. */
  readonly getLimit: (upstreamId: string) => number | undefined;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
}

/** The decision on a request, by the id that `addRequest` returned. */
export interface SettledRequest {
  readonly id: number;
  readonly decision: GrantDecision;
}

interface WaitingRequest {
  readonly id: number;
  readonly request: GrantRequest;
  readonly deadlineMs: number;
}

/** Exponentially decaying count of a workspace's grants. */
interface RecentGrants {
  count: number;
  atMs: number;
}

interface Slot {
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Bounds the queue; requests beyond it could not be granted in time. */
const MAX_WAITING = 256;
/** Half-life of a grant in the recent grants of its workspace. */
const GRANT_HALF_LIFE_MS = 2000;
/** Maximum retry delay of a refused caller. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Bounds the memory for recent grants. */
const MAX_WORKSPACES = 1024;

/**
 * Queues requests for sends to limited upstreams, ordered by priority, then by the fewest
 * recent grants of the workspace, then retries first, then by arrival. A request is refused
 * as soon as it cannot be granted before its deadline, including when more urgent requests
 * overtake it.
 */
export class SendQueue {
  private readonly parts: SendQueueParts;
  private readonly pacers = new Map<string, RatePacer>();
  private readonly recentGrants = new Map<string, RecentGrants>();
  /** Latest retry time given to a refused caller, by service. */
  private readonly lastRetryAtMs = new Map<string, number>();
  private waiting: WaitingRequest[] = [];
  private lastId = 0;
  private nextSettleAtMs: number | undefined;

  constructor(parts: SendQueueParts) {
    this.parts = parts;
  }

  /** Adds a request and returns its id; `settle` decides on it. */
  addRequest(request: GrantRequest, nowMs: number): number {
    this.lastId += 1;
    const id = this.lastId;
    const deadlineMs = nowMs + request.maxWaitMs;
    this.waiting.push({id, request, deadlineMs});
    return id;
  }

  /** Grants the requests that are due and refuses those that cannot be granted in time. */
  settle(nowMs: number): SettledRequest[] {
    const settled: SettledRequest[] = [];
    const stillWaiting: WaitingRequest[] = [];
    const plannedAtMs = new Map<string, number>();
    const plannedGrants = new Map<string, number>();
    const remaining = new Set(this.waiting);
    this.nextSettleAtMs = undefined;
    while (remaining.size > 0) {
      const next = this.findNext(remaining, plannedGrants, nowMs);
      remaining.delete(next);
      const {id, request, deadlineMs} = next;
      const slot = this.findSlot(request.upstreamIds, plannedAtMs, nowMs);
      if (slot && slot.atMs <= nowMs) {
        this.recordGrant(slot.upstreamId, request.workspace, nowMs);
        const decision = {upstreamId: slot.upstreamId, retryAfterMs: 0};
        settled.push({id, decision});
        continue;
      }
      if (
        !slot ||
        slot.atMs > deadlineMs ||
        stillWaiting.length >= MAX_WAITING
      ) {
        const retryAfterMs = this.reserveRetry(
          request,
          slot?.atMs ?? nowMs,
          nowMs,
        );
        settled.push({id, decision: {retryAfterMs}});
        continue;
      }
      plannedAtMs.set(slot.upstreamId, slot.atMs);
      const {workspace} = request;
      plannedGrants.set(workspace, (plannedGrants.get(workspace) ?? 0) + 1);
      stillWaiting.push(next);
      this.nextSettleAtMs = Math.min(
        this.nextSettleAtMs ?? Infinity,
        slot.atMs,
      );
    }
    this.waiting = stillWaiting;
    return settled;
  }

  /** Returns when to call `settle` again; undefined if no request waits. */
  getNextSettleAtMs(): number | undefined {
    return this.nextSettleAtMs;
  }

  /** Returns whether a send to an upstream is due and no queued request needs it. */
  maySend(upstreamId: string, nowMs: number): boolean {
    const limit = this.parts.getLimit(upstreamId);
    if (limit === undefined) return true;
    if (this.hasWaitingRequest(upstreamId)) return false;
    return this.getDueAtMs(upstreamId, limit, nowMs) <= nowMs;
  }

  /** Uses up a due send for work that bypasses the queue; returns whether one was due. */
  acquireSend(upstreamId: string, nowMs: number): boolean {
    if (!this.maySend(upstreamId, nowMs)) return false;
    this.recordSend(upstreamId, nowMs);
    return true;
  }

  /** Drops the state of unregistered upstreams. */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    const registeredIds = new Set(records.map(({id}) => id));
    for (const id of this.pacers.keys()) {
      if (!registeredIds.has(id)) this.pacers.delete(id);
    }
  }

  private hasWaitingRequest(upstreamId: string): boolean {
    return this.waiting.some(({request}) =>
      request.upstreamIds.includes(upstreamId),
    );
  }

  private findNext(
    remaining: ReadonlySet<WaitingRequest>,
    plannedGrants: ReadonlyMap<string, number>,
    nowMs: number,
  ): WaitingRequest {
    const countGrants = ({workspace}: GrantRequest) =>
      this.countRecentGrants(workspace, nowMs) +
      (plannedGrants.get(workspace) ?? 0);
    let first: WaitingRequest | undefined;
    for (const each of remaining) {
      if (!first || compareRequests(each, first, countGrants) < 0) first = each;
    }
    return first!;
  }

  // The earliest unplanned send at any of the upstreams.
  private findSlot(
    upstreamIds: readonly string[],
    plannedAtMs: ReadonlyMap<string, number>,
    nowMs: number,
  ): Slot | undefined {
    let best: Slot | undefined;
    for (const upstreamId of upstreamIds) {
      const limit = this.parts.getLimit(upstreamId);
      if (limit === undefined) return {upstreamId, atMs: nowMs};
      const lastAtMs = plannedAtMs.get(upstreamId);
      const atMs =
        lastAtMs === undefined
          ? this.getDueAtMs(upstreamId, limit, nowMs)
          : lastAtMs + 1000 / computeGrantedRate(limit);
      if (!best || atMs < best.atMs) best = {upstreamId, atMs};
    }
    return best;
  }

  private getDueAtMs(upstreamId: string, limit: number, nowMs: number): number {
    const rate = computeGrantedRate(limit);
    let pacer = this.pacers.get(upstreamId);
    if (!pacer) {
      // A previous coordinator may have granted a send at this moment.
      pacer = new RatePacer(nowMs);
      this.pacers.set(upstreamId, pacer);
    }
    return pacer.getNextSendAtMs(rate);
  }

  private recordGrant(
    upstreamId: string,
    workspace: string,
    nowMs: number,
  ): void {
    this.recordSend(upstreamId, nowMs);
    const count = this.countRecentGrants(workspace, nowMs) + 1;
    this.recentGrants.delete(workspace);
    this.recentGrants.set(workspace, {count, atMs: nowMs});
    if (this.recentGrants.size <= MAX_WORKSPACES) return;
    const [oldest] = this.recentGrants.keys();
    this.recentGrants.delete(oldest);
  }

  private recordSend(upstreamId: string, nowMs: number): void {
    const limit = this.parts.getLimit(upstreamId);
    if (limit === undefined) return;
    const rate = computeGrantedRate(limit);
    this.pacers.get(upstreamId)?.recordSend(nowMs, rate);
  }

  private countRecentGrants(workspace: string, nowMs: number): number {
    const {count, atMs} = this.recentGrants.get(workspace) ?? {
      count: 0,
      atMs: nowMs,
    };
    return count * 2 ** (-(nowMs - atMs) / GRANT_HALF_LIFE_MS);
  }

  // Spaces the retries of refused callers at the granted rate. Retries that would exceed the
  // maximum delay are spread randomly below it.
  private reserveRetry(
    {service, upstreamIds}: GrantRequest,
    availableAtMs: number,
    nowMs: number,
  ): number {
    const perSecond = upstreamIds.reduce(
      (sum, id) => sum + computeGrantedRate(this.parts.getLimit(id) ?? 0),
      0,
    );
    const lastAtMs = Math.max(
      this.lastRetryAtMs.get(service) ?? 0,
      availableAtMs,
    );
    const atMs = lastAtMs + 1000 / Math.max(perSecond, 0.1);
    const latestMs = nowMs + MAX_RETRY_AFTER_MS;
    if (atMs <= latestMs) {
      this.lastRetryAtMs.set(service, atMs);
      return atMs - nowMs;
    }
    const minDelayMs = Math.min(
      Math.max(0, availableAtMs - nowMs),
      MAX_RETRY_AFTER_MS,
    );
    return minDelayMs + this.parts.random() * (MAX_RETRY_AFTER_MS - minDelayMs);
  }
}

function compareRequests(
  left: WaitingRequest,
  right: WaitingRequest,
  countGrants: (request: GrantRequest) => number,
): number {
  return (
    left.request.priority - right.request.priority ||
    countGrants(left.request) - countGrants(right.request) ||
    Number(right.request.isReturning) - Number(left.request.isReturning) ||
    left.id - right.id
  );
}
