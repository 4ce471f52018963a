import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {
  KeyRange,
  KeyValueStore,
  RangeResult,
  WatchEvent,
  WatchSubscription,
} from '@hollowstack/store';

/**
 * Milliseconds before a failed reading is tried again, at first; some ten
 * answers of a healthy store.
 */
const MIN_RETRY_MS = 300;
/** An instance must have caught up some 3 s after the store is back. */
const MAX_RETRY_MS = 800;

/** What a follower keeps up to date. */
export interface StoreFollowerParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly range: KeyRange;
  readonly handleFullRead: (reading: RangeResult) => void;
  /** Called when changes may have been missed, which the next reading brings. */
  readonly handleMissedChanges: () => void;
  /** Called before the first reading after the store was away. */
  readonly handleOutageEnd?: () => void;
  readonly handleChanges: (events: readonly WatchEvent[]) => void;
  /** Called when every change up to a time of the clock was handled. */
  readonly handleKnownUntil: (knownUntilMs: number) => void;
}

/** Follows one range: reads it whole whenever the watch stands anew, then by changes. */
export class StoreFollower implements WatchSubscription {
  readonly range: KeyRange;
  private readonly parts: StoreFollowerParts;
  private readonly stopController = new AbortController();
  private readController = new AbortController();
  private knownUntilMs = -Infinity;
  private isReadDue = true;
  private isDown = false;

  constructor(parts: StoreFollowerParts) {
    this.parts = parts;
    this.range = parts.range;
  }

  handleEvents(events: readonly WatchEvent[]): void {
    this.parts.handleChanges(events);
  }

  handleProgress(knownUntilMs: number): void {
    this.knownUntilMs = Math.max(this.knownUntilMs, knownUntilMs);
    if (!this.isReadDue) this.parts.handleKnownUntil(this.knownUntilMs);
  }

  handleResync(isAfterOutage: boolean): void {
    this.parts.handleMissedChanges();
    if (isAfterOutage) this.parts.handleOutageEnd?.();
    void this.refresh();
  }

  stop(): void {
    this.stopController.abort(new Error('stopped'));
  }

  /**
   * Reads the range, again and again until the store answers. Takes the place of a reading
   * that is under way.
   */
  refresh(): Promise<void> {
    this.isReadDue = true;
    this.readController.abort(new Error('another reading takes its place'));
    this.readController = new AbortController();
    const {signal} = this.readController;
    return this.readUntilAnswered(
      AbortSignal.any([this.stopController.signal, signal]),
    );
  }

  private async readUntilAnswered(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.parts;
    let retryMs = MIN_RETRY_MS;
    while (!signal.aborted && !(await this.readOnce(signal))) {
      const pauseMs = retryMs * (0.5 + random());
      await waitFor(clock, pauseMs, signal).catch(() => {});
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  private async readOnce(signal: AbortSignal): Promise<boolean> {
    try {
      const result = await this.parts.store.readRange(this.range);
      if (signal.aborted) return false;
      this.recordState(false, undefined);
      this.parts.handleFullRead(result);
      this.isReadDue = false;
      this.handleProgress(this.knownUntilMs);
      return true;
    } catch (error) {
      if (signal.aborted) return false;
      const reason = error instanceof Error ? error.message : String(error);
      this.recordState(true, reason);
      return false;
    }
  }

  private recordState(isDown: boolean, reason: string | undefined): void {
    if (isDown === this.isDown) return;
    this.isDown = isDown;
    const event = isDown ? 'store.down' : 'store.back';
    this.parts.logger.logEvent(event, {range: this.range.start, reason});
  }
}
