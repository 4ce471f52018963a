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

interface Row {
  backOff: BackOff;
  /** When the upstream last asked, in milliseconds of this instance's clock. */
  readonly askedAtMs: number;
  timer: Timer;
}

/**
 * The upstreams that asked this instance for no work for a time. What others were
 * asked is their affair: an upstream may be full for one and have room for another.
 */
export class BackOffTable {
  private readonly parts: BackOffTableParts;
  private readonly rows = new Map<string, Row>();

  constructor(parts: BackOffTableParts) {
    this.parts = parts;
  }

  /**
   * Notes that an upstream wants no work.
   *
   * @param forMs Milliseconds from now.
   */
  beginBackOff(id: string, forMs: number): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.getNow();
    const row = this.rows.get(id);
    row?.timer.cancel();
    const backOff = recordBackOff(row?.backOff, forMs, nowMs);
    const leftMs = backOff.untilMs - nowMs;
    const timer = clock.schedule(leftMs, () =>
      logger.logEvent('upstream.back-off-ended', {upstream: id}),
    );
    this.rows.set(id, {backOff, askedAtMs: nowMs, timer});
  }

  /**
   * Has what an upstream asked for after it had started again hold for its new life, where
   * it was noted of the one before.
   *
   * @param startedAtMs When the new life began, in Unix milliseconds.
   */
  replaceIncarnation(before: string, after: string, startedAtMs: number): void {
    const row = this.rows.get(before);
    const waitMs = this.getWaitMs(before);
    if (row && waitMs > 0 && row.askedAtMs >= startedAtMs) {
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
    const row = this.rows.get(id);
    if (!row || !this.findBackOff(id)) return true;
    const nowMs = this.parts.clock.getNow();
    if (!maySend(row.backOff, nowMs)) return false;
    row.backOff = recordSend(row.backOff, nowMs);
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
    return [...this.rows.keys()].filter(id => this.getWaitMs(id) > 0).length;
  }

  /** Cancels the timers, so that nothing is left to keep a process that stops. */
  stop(): void {
    for (const {timer} of this.rows.values()) timer.cancel();
    this.rows.clear();
  }

  private findBackOff(id: string): BackOff | undefined {
    const backOff = this.rows.get(id)?.backOff;
    if (!backOff) return undefined;
    if (!isOver(backOff, this.parts.clock.getNow())) return backOff;
    this.rows.delete(id);
    return undefined;
  }
}
