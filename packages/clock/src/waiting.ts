import {addAbortHandler} from '@hollowstack/cancellation';
import type {Clock, Timer} from './clock.ts';

/**
 * Resolves after a time; rejects with the signal's reason if the signal aborts first.
 *
 * @param durationMs Milliseconds to wait.
 */
export function waitFor(
  clock: Clock,
  durationMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = clock.schedule(durationMs, () => {
      removeAbortHandler();
      resolve();
    });
    const removeAbortHandler = addAbortHandler(signal, reason => {
      timer.cancel();
      reject(reason);
    });
  });
}

/** Parts of a wait for an answer, after each of which a stall of this process is noticed. */
const SLICES_PER_TIMEOUT = 4;
/** Lateness of a timer in milliseconds from which this process counts as stalled. */
const STALL_MS = 25;

/**
 * Schedules a callback for the time at which an answer counts as missing. A process that stalls
 * runs its due timers before it reads the answers that have arrived. So the milliseconds of
 * stalls do not count, up to `timeoutMs` in all, and a wait that ends with a stall goes on once
 * more.
 */
export function scheduleTimeout(
  clock: Clock,
  timeoutMs: number,
  callback: () => void,
): Timer {
  const sliceMs = timeoutMs / SLICES_PER_TIMEOUT;
  let remainingMs = timeoutMs;
  let uncountedMs = timeoutMs;
  let hasWaitedAgain = false;
  const startSlice = (durationMs: number): Timer => {
    const dueAtMs = clock.getNow() + durationMs;
    return clock.schedule(durationMs, () => {
      const lateMs = Math.max(0, clock.getNow() - dueAtMs);
      const stalledMs = lateMs < STALL_MS ? 0 : Math.min(lateMs, uncountedMs);
      uncountedMs -= stalledMs;
      remainingMs -= durationMs + lateMs - stalledMs;
      if (remainingMs <= 0 && lateMs >= STALL_MS && !hasWaitedAgain) {
        hasWaitedAgain = true;
        remainingMs = sliceMs;
      }
      if (remainingMs <= 0) callback();
      else timer = startSlice(Math.min(sliceMs, remainingMs));
    });
  };
  let timer = startSlice(sliceMs);
  return {cancel: () => timer.cancel()};
}

/** A signal that aborts at a deadline or with its parent. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Cancels the timer and detaches from the parent; to be called once the work is done. */
  release(): void;
}

/**
 * Creates a signal that aborts `delayMs` milliseconds from now or with its parent.
 *
 * @param createReason Creates the abort reason when the deadline has passed.
 */
export function createDeadlineSignal(
  clock: Clock,
  delayMs: number,
  createReason: () => Error,
  parent?: AbortSignal,
): DeadlineSignal {
  const schedule = (callback: () => void) => clock.schedule(delayMs, callback);
  return createScheduledSignal(schedule, createReason, parent);
}

/**
 * Creates a signal that aborts when an answer counts as missing, as `scheduleTimeout`
 * determines it, or with its parent.
 *
 * @param createReason Creates the abort reason when the timeout expires.
 */
export function createTimeoutSignal(
  clock: Clock,
  timeoutMs: number,
  createReason: () => Error,
  parent?: AbortSignal,
): DeadlineSignal {
  const schedule = (callback: () => void) =>
    scheduleTimeout(clock, timeoutMs, callback);
  return createScheduledSignal(schedule, createReason, parent);
}

function createScheduledSignal(
  schedule: (callback: () => void) => Timer,
  createReason: () => Error,
  parent: AbortSignal | undefined,
): DeadlineSignal {
  const controller = new AbortController();
  const removeAbortHandler = addAbortHandler(parent, reason =>
    controller.abort(reason),
  );
  const timer = schedule(() => controller.abort(createReason()));
  return {
    signal: controller.signal,
    release: () => {
      timer.cancel();
      removeAbortHandler();
    },
  };
}
