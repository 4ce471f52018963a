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
  /** When the upstream last requested it, in milliseconds of this instance's clock. */
  readonly requestedAtMs: number;
  timer: Timer;
}

/**
 * Back-offs that upstreams requested from this instance. They are not shared with other
 * instances: an upstream may refuse one caller and still have capacity for another.
 */
export class BackOffTable {
  private readonly parts: BackOffTableParts;
  private readonly entries = new Map<string, BackOffEntry>();

  constructor(parts: BackOffTableParts) {
    this.parts = parts;
  }

  /**
   * Begins or extends the back-off of an upstream.
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
   * Applies the back-off of a restarted upstream to its new incarnation if it was requested
   * after the restart; it was then recorded for the previous id.
   *
   * @param startedAtMs When the new incarnation started, in Unix milliseconds.
   */
  replaceIncarnation(before: string, after: string, startedAtMs: number): void {
    const entry = this.entries.get(before);
    const waitMs = this.getWaitMs(before);
    if (entry && waitMs > 0 && entry.requestedAtMs >= startedAtMs) {
      this.beginBackOff(after, waitMs);
    }
  }

  /** Returns whether the back-off of an upstream, if any, allows a send now. */
  maySend(id: string): boolean {
    const backOff = this.findBackOff(id);
    return !backOff || maySend(backOff, this.parts.clock.getNow());
  }

  /** Counts a send if the back-off allows it now; returns whether it did. */
  acquireSend(id: string): boolean {
    const entry = this.entries.get(id);
    if (!entry || !this.findBackOff(id)) return true;
    const nowMs = this.parts.clock.getNow();
    if (!maySend(entry.backOff, nowMs)) return false;
    entry.backOff = recordSend(entry.backOff, nowMs);
    return true;
  }

  /** Returns the milliseconds until an upstream accepts work again; 0 if it does now. */
  getWaitMs(id: string): number {
    const backOff = this.findBackOff(id);
    if (!backOff) return 0;
    return Math.max(0, backOff.untilMs - this.parts.clock.getNow());
  }

  /** Counts the upstreams whose back-off has not ended; slow starts do not count. */
  countBackingOff(): number {
    return [...this.entries.keys()].filter(id => this.getWaitMs(id) > 0).length;
  }

  /** Cancels the timers, so that they do not keep a stopping process alive. */
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
