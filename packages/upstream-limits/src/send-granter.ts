import type {Clock, Timer} from '@hollowstack/clock';
import type {GrantDecision, GrantRequest} from '@hollowstack/types';
import {SendQueue, type SendQueueParts} from './send-queue.ts';

/** Dependencies of SendGranter. */
export interface SendGranterParts extends SendQueueParts {
  readonly clock: Clock;
}

/** Retry delay for callers that are refused because the instance stops. */
const STOPPED_RETRY_MS = 100;

/** Grants sends to limited upstreams; on the coordinator, for all instances. */
export class SendGranter {
  private readonly clock: Clock;
  private readonly queue: SendQueue;
  private readonly resolvers = new Map<
    number,
    (decision: GrantDecision) => void
  >();
  private timer: Timer | undefined;

  constructor({clock, ...parts}: SendGranterParts) {
    this.clock = clock;
    this.queue = new SendQueue(parts);
  }

  /** Resolves once the request is granted or refused, within its maximum wait. */
  acquireGrant(request: GrantRequest): Promise<GrantDecision> {
    return new Promise(resolve => {
      const id = this.queue.addRequest(request, this.clock.getNow());
      this.resolvers.set(id, resolve);
      this.settle();
    });
  }

  /** Returns whether a send to an upstream is due and no queued request needs it. */
  maySend(upstreamId: string): boolean {
    return this.queue.maySend(upstreamId, this.clock.getNow());
  }

  /** Uses up a due send for work that bypasses the queue; returns whether one was due. */
  acquireSend(upstreamId: string): boolean {
    return this.queue.acquireSend(upstreamId, this.clock.getNow());
  }

  /** Drops the state of unregistered upstreams. */
  setUpstreams(records: readonly {readonly id: string}[]): void {
    this.queue.setUpstreams(records);
  }

  /** Refuses all waiting requests. */
  stop(): void {
    this.timer?.cancel();
    const resolvers = [...this.resolvers.values()];
    this.resolvers.clear();
    for (const resolve of resolvers) resolve({retryAfterMs: STOPPED_RETRY_MS});
  }

  private settle(): void {
    this.timer?.cancel();
    const nowMs = this.clock.getNow();
    for (const {id, decision} of this.queue.settle(nowMs)) {
      const resolve = this.resolvers.get(id);
      this.resolvers.delete(id);
      resolve?.(decision);
    }
    const nextAtMs = this.queue.getNextSettleAtMs();
    if (nextAtMs === undefined) return;
    const delayMs = Math.max(0, nextAtMs - nowMs);
    this.timer = this.clock.schedule(delayMs, () => this.settle());
  }
}
