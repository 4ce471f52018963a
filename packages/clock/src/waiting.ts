import type {Clock} from './clock.ts';

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
    if (signal?.aborted) {
      reject(signal.reason);
      return;
    }
    const stopWaiting = () => {
      timer.cancel();
      reject(signal!.reason);
    };
    const timer = clock.schedule(durationMs, () => {
      signal?.removeEventListener('abort', stopWaiting);
      resolve();
    });
    signal?.addEventListener('abort', stopWaiting, {once: true});
  });
}

/** A signal that aborts at a deadline or with its parent. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Cancels the timer and detaches from the parent; to be called once the work is done. */
  release(): void;
}

/**
 * Creates a signal that aborts `timeoutMs` milliseconds from now or with its parent.
 *
 * @param createReason Creates the abort reason when the timeout expires.
 */
export function createDeadlineSignal(
  clock: Clock,
  timeoutMs: number,
  createReason: () => Error,
  parent?: AbortSignal,
): DeadlineSignal {
  const controller = new AbortController();
  const followParent = () => controller.abort(parent!.reason);
  if (parent?.aborted) followParent();
  parent?.addEventListener('abort', followParent, {once: true});
  const timer = clock.schedule(timeoutMs, () =>
    controller.abort(createReason()),
  );
  return {
    signal: controller.signal,
    release: () => {
      timer.cancel();
      parent?.removeEventListener('abort', followParent);
    },
  };
}
