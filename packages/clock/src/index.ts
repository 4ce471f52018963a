/** The clock interface that other packages use, a system clock and a manual clock for tests. */
export type {Clock, Timer} from './clock.ts';
export {SystemClock} from './system-clock.ts';
export {SYSTEM_TIME_SOURCES, type TimeSources} from './time-sources.ts';
export {ManualClock} from './manual-clock.ts';
export {RepeatingTask} from './repeating-task.ts';
export {
  waitFor,
  createDeadlineSignal,
  createTimeoutSignal,
  scheduleTimeout,
} from './waiting.ts';
