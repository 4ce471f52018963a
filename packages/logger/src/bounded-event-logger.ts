import {EventLogger, type EventFields} from './event-logger.ts';
import {EVENTS, type EventName} from './events.ts';

/** How many lines may be written. */
export interface LogBound {
  readonly linesPerSecond: number;
  /** Lines that may be saved up. */
  readonly burst: number;
  /** Bytes that may wait for a reader who does not keep up. */
  readonly backlogBytes: number;
}

/** Bound of a daemon: some 60 KB a second at most. */
export const DEFAULT_LOG_BOUND: LogBound = {
  linesPerSecond: 100,
  burst: 400,
  backlogBytes: 512 * 1024,
};

/** Lines of level `info` and below are left out once less than this is saved up. */
const INFO_RESERVE = 0.5;

function getNothing(): number {
  return 0;
}

/**
 * Passes events on up to a bound. Ordinary ones are left out before warnings
 * and errors; what was left out is told by kind once there is room again.
 */
export class BoundedEventLogger extends EventLogger {
  private readonly target: EventLogger;
  private readonly getNow: () => number;
  private readonly bound: LogBound;
  private readonly getBacklogBytes: () => number;
  private readonly omitted = new Map<EventName, number>();
  private saved: number;
  private filledAtMs: number;

  /** @param getBacklogBytes Returns the bytes that were written and not read yet. */
  constructor(
    target: EventLogger,
    getNow: () => number,
    bound: LogBound = DEFAULT_LOG_BOUND,
    getBacklogBytes: () => number = getNothing,
  ) {
    super();
    this.target = target;
    this.getNow = getNow;
    this.bound = bound;
    this.getBacklogBytes = getBacklogBytes;
    this.saved = bound.burst;
    this.filledAtMs = getNow();
  }

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.addAllowance();
    const isFull = this.getBacklogBytes() >= this.bound.backlogBytes;
    if (isFull || this.saved < this.computeNeed(name)) {
      this.omitted.set(name, (this.omitted.get(name) ?? 0) + 1);
      return;
    }
    this.saved -= 1;
    this.target.logEvent(name, fields);
    if (this.omitted.size > 0) this.logOmitted();
  }

  private computeNeed(name: EventName): number {
    const {level} = EVENTS[name];
    const isFailure = level === 'warn' || level === 'error';
    return isFailure ? 1 : Math.max(1, INFO_RESERVE * this.bound.burst);
  }

  private addAllowance(): void {
    const nowMs = this.getNow();
    const gained =
      ((nowMs - this.filledAtMs) / 1000) * this.bound.linesPerSecond;
    this.saved = Math.min(this.bound.burst, this.saved + Math.max(0, gained));
    this.filledAtMs = nowMs;
  }

  private logOmitted(): void {
    const counts = Object.fromEntries(this.omitted);
    this.omitted.clear();
    this.saved -= 1;
    this.target.logEvent('log.omitted', counts);
  }
}
