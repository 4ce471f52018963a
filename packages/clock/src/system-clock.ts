import type {Clock, Timer} from './clock.ts';
import {SuspensionDetector} from './suspension-detector.ts';
import {SYSTEM_TIME_SOURCES, type TimeSources} from './time-sources.ts';

interface ScheduledCallback {
  readonly dueAtMs: number;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
}

/**
 * The system's clock. It starts from the wall clock and advances with the monotonic
 * clock, so that a step of the wall clock never shortens a lease. Time during which the
 * machine was suspended counts, because leases and time limits elsewhere have run on.
 */
export class SystemClock implements Clock {
  private readonly sources: TimeSources;
  private readonly detector: SuspensionDetector;
  private readonly scheduled = new Set<ScheduledCallback>();
  private readonly listeners: Array<(suspendedMs: number) => void> = [];
  private originMs: number;

  constructor(sources: TimeSources = SYSTEM_TIME_SOURCES) {
    this.sources = sources;
    this.detector = new SuspensionDetector(sources);
    this.originMs = sources.getWallMs() - sources.getSteadyMs();
  }

  getNow(): number {
    const steadyMs = this.sources.getSteadyMs();
    const suspendedMs = this.detector.readSuspendedMs(steadyMs);
    if (suspendedMs > 0) this.recordSuspension(suspendedMs, steadyMs);
    return this.originMs + steadyMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const entry: ScheduledCallback = {
      dueAtMs: this.getNow() + Math.max(0, delayMs),
      callback,
      handle: setTimeout(() => this.runScheduled(entry), Math.max(0, delayMs)),
    };
    this.scheduled.add(entry);
    return {cancel: () => this.cancelScheduled(entry)};
  }

  /** Adds a function that is called with the duration of each suspension in milliseconds. */
  addSuspensionListener(listener: (suspendedMs: number) => void): void {
    this.listeners.push(listener);
  }

  private runScheduled(entry: ScheduledCallback): void {
    this.scheduled.delete(entry);
    entry.callback();
  }

  private cancelScheduled(entry: ScheduledCallback): void {
    this.scheduled.delete(entry);
    clearTimeout(entry.handle);
  }

  // The runtime's timers follow the monotonic clock and would fire late by the suspension.
  private recordSuspension(suspendedMs: number, steadyMs: number): void {
    this.originMs += suspendedMs;
    const nowMs = this.originMs + steadyMs;
    for (const entry of this.scheduled) {
      clearTimeout(entry.handle);
      entry.handle = setTimeout(
        () => this.runScheduled(entry),
        Math.max(0, entry.dueAtMs - nowMs),
      );
    }
    for (const listener of this.listeners) listener(suspendedMs);
  }
}
