import type {Clock} from './clock.ts';

/**
 * Waits for a time to pass, or rejects with the signal's reason once it is aborted.
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

/** A signal that aborts at a time on the given clock, or with its parent. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Lets go of the timer and the parent; call it once the work is over. */
  release(): void;
}

/**
 * Creates a signal that aborts `timeoutMs` from now or with its parent.
 *
 * @param createReason Makes the abort's reason when the time has run out.
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
