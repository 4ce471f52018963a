import {EventLogger, type EventFields} from './event-logger.ts';
import {EVENTS, type EventName} from './events.ts';

/** Limits on the number of log lines. */
export interface LogLimits {
  readonly linesPerSecond: number;
  /** Capacity of the token bucket, in lines. */
  readonly burst: number;
  /** Maximum number of written bytes that the reader has not consumed yet. */
  readonly backlogBytes: number;
}

/** Limits of a daemon: at most about 60 KB per second. */
export const DEFAULT_LOG_LIMITS: LogLimits = {
  linesPerSecond: 100,
  burst: 400,
  backlogBytes: 512 * 1024,
};

/** Share of the burst below which events of level `info` and `debug` are dropped. */
const INFO_RESERVE_SHARE = 0.5;

function getZero(): number {
  return 0;
}

/**
 * Forwards events to another logger within a rate limit and a limit on unread bytes.
 * Events of level `info` and `debug` are dropped before warnings and errors; the counts
 * of dropped events are logged by event name once lines can be written again.
 */
export class BoundedEventLogger extends EventLogger {
  private readonly target: EventLogger;
  private readonly getNow: () => number;
  private readonly limits: LogLimits;
  private readonly getBacklogBytes: () => number;
  private readonly omitted = new Map<EventName, number>();
  private tokens: number;
  private refilledAtMs: number;

  /** @param getBacklogBytes Returns the number of bytes written but not yet read. */
  constructor(
    target: EventLogger,
    getNow: () => number,
    limits: LogLimits = DEFAULT_LOG_LIMITS,
    getBacklogBytes: () => number = getZero,
  ) {
    super();
    this.target = target;
    this.getNow = getNow;
    this.limits = limits;
    this.getBacklogBytes = getBacklogBytes;
    this.tokens = limits.burst;
    this.refilledAtMs = getNow();
  }

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.addTokens();
    const isFull = this.getBacklogBytes() >= this.limits.backlogBytes;
    if (isFull || this.tokens < this.computeRequiredTokens(name)) {
      this.omitted.set(name, (this.omitted.get(name) ?? 0) + 1);
      return;
    }
    this.tokens -= 1;
    this.target.logEvent(name, fields);
    if (this.omitted.size > 0) this.logOmitted();
  }

  private computeRequiredTokens(name: EventName): number {
    const {level} = EVENTS[name];
    const isFailure = level === 'warn' || level === 'error';
    return isFailure ? 1 : Math.max(1, INFO_RESERVE_SHARE * this.limits.burst);
  }

  private addTokens(): void {
    const nowMs = this.getNow();
    const newTokens =
      ((nowMs - this.refilledAtMs) / 1000) * this.limits.linesPerSecond;
    this.tokens = Math.min(
      this.limits.burst,
      this.tokens + Math.max(0, newTokens),
    );
    this.refilledAtMs = nowMs;
  }

  private logOmitted(): void {
    const counts = Object.fromEntries(this.omitted);
    this.omitted.clear();
    this.tokens -= 1;
    this.target.logEvent('log.omitted', counts);
  }
}
