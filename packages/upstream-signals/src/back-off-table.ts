import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  isOver,
  maySend,
  recordBackOff,
  recordSend,
  type BackOff,
} from './back-off.ts';

/** Dependencies of BackOffTable. */
export interface BackOffTableParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
}

interface BackOffEntry {
  backOff: BackOff;
  /** When the upstream last asked, in milliseconds of this instance's clock. */
  readonly requestedAtMs: number;
  timer: Timer;
}

/**
 * The upstreams that asked this instance for no work for a time. What others were
 * asked is their affair: an upstream may be full for one and have room for another.
 */
export class BackOffTable {
  private readonly parts: BackOffTableParts;
  private readonly entries = new Map<string, BackOffEntry>();

  constructor(parts: BackOffTableParts) {
    this.parts = parts;
  }

  /**
   * Notes that an upstream wants no work.
   *
   * @param durationMs Milliseconds from now.
   */
  beginBackOff(id: string, durationMs: number): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.getNow();
    const entry = this.entries.get(id);
    entry?.timer.cancel();
    const backOff = recordBackOff(entry?.backOff, durationMs, nowMs);
    const remainingMs = backOff.untilMs - nowMs;
    const timer = clock.schedule(remainingMs, () =>
      logger.logEvent('upstream.back-off-ended', {upstream: id}),
    );
    this.entries.set(id, {backOff, requestedAtMs: nowMs, timer});
  }

  /**
   * Has what an upstream asked for after it had started again hold for its new life, where
   * it was noted of the one before.
   *
   * @param startedAtMs When the new life began, in Unix milliseconds.
   */
  replaceIncarnation(before: string, after: string, startedAtMs: number): void {
    const entry = this.entries.get(before);
    const waitMs = this.getWaitMs(before);
    if (entry && waitMs > 0 && entry.requestedAtMs >= startedAtMs) {
      this.beginBackOff(after, waitMs);
    }
  }

  /** Returns whether work may go to an upstream now, as far as it was asked for none. */
  maySend(id: string): boolean {
    const backOff = this.findBackOff(id);
    return !backOff || maySend(backOff, this.parts.clock.getNow());
  }

  /** Returns whether work that is sent now may be, and counts it if so. */
  acquireSend(id: string): boolean {
    const entry = this.entries.get(id);
    if (!entry || !this.findBackOff(id)) return true;
    const nowMs = this.parts.clock.getNow();
    if (!maySend(entry.backOff, nowMs)) return false;
    entry.backOff = recordSend(entry.backOff, nowMs);
    return true;
  }

  /** Returns milliseconds until an upstream takes some work again, 0 for one that does. */
  getWaitMs(id: string): number {
    const backOff = this.findBackOff(id);
    if (!backOff) return 0;
    return Math.max(0, backOff.untilMs - this.parts.clock.getNow());
  }

  /** Counts the upstreams that want no work now. */
  countBackingOff(): number {
    return [...this.entries.keys()].filter(id => this.getWaitMs(id) > 0).length;
  }

  /** Cancels the timers, so that nothing is left to keep a process that stops. */
  stop(): void {
    for (const {timer} of this.entries.values()) timer.cancel();
    this.entries.clear();
  }

  private findBackOff(id: string): BackOff | undefined {
    const backOff = this.entries.get(id)?.backOff;
    if (!backOff) return undefined;
    if (!isOver(backOff, this.parts.clock.getNow())) return backOff;
    this.entries.delete(id);
    return undefined;
  }
}
