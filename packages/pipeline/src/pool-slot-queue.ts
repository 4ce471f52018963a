import {
  AdaptiveLimit,
  DEFAULT_QUEUE_POLICY,
  chooseNextWaiting,
  type AdaptiveLimitOptions,
  type InServiceCount,
  type WaitingWork,
} from '@hollowstack/admission';
import {addAbortHandler} from '@hollowstack/cancellation';
import type {Clock, Timer} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';

/** A concurrency slot of a pool; it must be released when the attempt has ended. */
export interface PoolSlot {
  /** Milliseconds that the work waited for the slot. */
  readonly waitedMs: number;
  release(): void;
}

/** Request for a slot. */
export interface SlotRequest extends WaitingWork {
  /** Milliseconds since the epoch after which it is too late to start; a waiting request is rejected then. */
  readonly latestStartMs: number;
}

interface Waiter extends SlotRequest {
  readonly enqueuedAtMs: number;
  readonly grant: (slot: PoolSlot) => void;
  readonly reject: (error: HollowstackError) => void;
  timer: Timer | undefined;
}

/**
 * Milliseconds between two adjustments of the limit; load reports take about
 * this long to reflect the last one.
 */
const SAMPLE_INTERVAL_MS = 1000;
/** Maximum number of requests that wait for one group of upstreams; bounds memory. */
const MAX_WAITING_REQUESTS = 2000;

/** Queues work for the concurrency slots that this instance has in one pool. */
export class PoolSlotQueue implements InServiceCount {
  private readonly clock: Clock;
  private readonly limit: AdaptiveLimit;
  private readonly isAdaptive: boolean;
  private readonly waiting: Waiter[] = [];
  private readonly counts = new Map<string, number>();
  private inService = 0;
  private sampledAtMs = 0;
  private hadWaitingWork = false;
  private wasRefused = false;
  private reportedQueuedPerSlot = 0;

  /** @param isAdaptive Whether the limit adapts to the observed load; otherwise only setBounds changes it. */
  constructor(
    clock: Clock,
    options: AdaptiveLimitOptions,
    isAdaptive: boolean,
  ) {
    this.clock = clock;
    this.isAdaptive = isAdaptive;
    this.limit = new AdaptiveLimit(options);
  }

  get total(): number {
    return this.inService;
  }

  getCount(workspace: string): number {
    return this.counts.get(workspace) ?? 0;
  }

  getLimit(): number {
    return this.limit.getLimit();
  }

  /** Returns the number of waiting requests with the same or a higher priority. */
  countAhead(priority: number): number {
    return this.waiting.filter(waiter => waiter.priority <= priority).length;
  }

  setBounds(options: AdaptiveLimitOptions): void {
    this.limit.setBounds(options);
    this.grantSlots();
  }

  /**
   * Waits for a slot.
   *
   * @throws HollowstackError `overloaded` if too many requests wait, or
   *   `deadline-unreachable` when the latest start has passed.
   */
  acquireSlot(request: SlotRequest, signal: AbortSignal): Promise<PoolSlot> {
    if (signal.aborted) return Promise.reject(signal.reason);
    if (this.waiting.length >= MAX_WAITING_REQUESTS) {
      return Promise.reject(
        new HollowstackError(
          'overloaded',
          `${MAX_WAITING_REQUESTS} requests wait`,
        ),
      );
    }
    return new Promise((resolve, reject) => {
      const handleAbort = () => {
        this.removeWaiter(waiter);
        reject(signal.reason);
      };
      const waiter: Waiter = {
        ...request,
        enqueuedAtMs: this.clock.getNow(),
        grant: slot => {
          removeAbortHandler();
          resolve(slot);
        },
        reject: error => {
          removeAbortHandler();
          reject(error);
        },
        timer: undefined,
      };
      this.waiting.push(waiter);
      const removeAbortHandler = addAbortHandler(signal, handleAbort);
      this.grantSlots();
      if (this.waiting.includes(waiter)) this.scheduleRefusal(waiter);
    });
  }

  /** Records how many requests wait in the upstreams' own queues per slot, according to their load reports. */
  recordReportedQueuedPerSlot(reportedQueuedPerSlot: number): void {
    this.reportedQueuedPerSlot = reportedQueuedPerSlot;
  }

  /** Records that an upstream refused work because it is overloaded. */
  recordRefusal(): void {
    this.wasRefused = true;
  }

  private scheduleRefusal(waiter: Waiter): void {
    const delayMs = waiter.latestStartMs - this.clock.getNow();
    waiter.timer = this.clock.schedule(delayMs, () => {
      this.removeWaiter(waiter);
      const waitedMs = Math.round(this.clock.getNow() - waiter.enqueuedAtMs);
      waiter.reject(
        new HollowstackError(
          'deadline-unreachable',
          `no place after ${waitedMs} ms, too late to begin now`,
        ),
      );
    });
  }

  private removeWaiter(waiter: Waiter): void {
    waiter.timer?.cancel();
    const index = this.waiting.indexOf(waiter);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  private grantSlots(): void {
    while (this.waiting.length > 0) {
      const index = chooseNextWaiting(
        this.waiting,
        this,
        {limit: this.getLimit(), initial: this.limit.getInitial()},
        DEFAULT_QUEUE_POLICY,
      );
      if (index < 0) {
        this.hadWaitingWork = true;
        return;
      }
      this.grantSlot(this.waiting[index]);
    }
  }

  private grantSlot(waiter: Waiter): void {
    this.removeWaiter(waiter);
    this.addInService(waiter.workspace, 1);
    let isReleased = false;
    waiter.grant({
      waitedMs: this.clock.getNow() - waiter.enqueuedAtMs,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.addInService(waiter.workspace, -1);
        this.recordSample();
        this.grantSlots();
      },
    });
  }

  private addInService(workspace: string, change: number): void {
    this.inService += change;
    const count = this.getCount(workspace) + change;
    if (count === 0) this.counts.delete(workspace);
    else this.counts.set(workspace, count);
  }

  private recordSample(): void {
    if (!this.isAdaptive) return;
    const nowMs = this.clock.getNow();
    if (nowMs - this.sampledAtMs < SAMPLE_INTERVAL_MS) return;
    this.sampledAtMs = nowMs;
    this.limit.applySample({
      hadWaitingWork: this.hadWaitingWork,
      wasRefused: this.wasRefused,
      queuedPerSlot: this.reportedQueuedPerSlot,
    });
    this.hadWaitingWork = false;
    this.wasRefused = false;
  }
}
