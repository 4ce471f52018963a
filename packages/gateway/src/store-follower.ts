import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {
  KeyRange,
  KeyValue,
  KeyValueStore,
  RangePartHandler,
  RangeResult,
  WatchEvent,
  WatchSubscription,
} from '@hollowstack/store';

/** Initial delay before a failed read is retried; ten response times of a healthy store. */
const MIN_RETRY_MS = 300;
/** Bounded because an instance must be up to date about 3 s after the end of an outage. */
const MAX_RETRY_MS = 800;

/** Dependencies of StoreFollower and the handlers that it calls. */
export interface StoreFollowerParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly range: KeyRange;
  readonly handleFullRead: (result: RangeResult) => void;
  /**
   * Called with each part of a full read as it arrives. The read may still fail, or be
   * replaced by a newer one.
   */
  readonly handlePartialRead: RangePartHandler;
  /** Called when changes may have been missed; a full read follows. */
  readonly handleMissedChanges: () => void;
  /** Called before the first full read after a store outage. */
  readonly handleOutageEnd?: () => void;
  readonly handleChanges: (events: readonly WatchEvent[]) => void;
  /** Called when every change up to `knownUntilMs` of the clock has been handled. */
  readonly handleKnownUntil: (knownUntilMs: number) => void;
}

/** Follows one key range: a full read each time the watch restarts, then the watch's changes. */
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

  /** Reads the whole range and retries until the store answers. Replaces a read in flight. */
  refresh(): Promise<void> {
    this.isReadDue = true;
    this.readController.abort(new Error('replaced by a newer read'));
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
      const result = await this.parts.store.readRange(
        this.range,
        0,
        keyValues => this.handlePartialRead(keyValues),
      );
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

  private handlePartialRead(keyValues: readonly KeyValue[]): void {
    if (this.stopController.signal.aborted) return;
    this.parts.handlePartialRead(keyValues);
  }

  private recordState(isDown: boolean, reason: string | undefined): void {
    if (isDown === this.isDown) return;
    this.isDown = isDown;
    const event = isDown ? 'store.down' : 'store.back';
    this.parts.logger.logEvent(event, {range: this.range.start, reason});
  }
}
