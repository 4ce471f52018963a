/**
 * Calls a handler once with the signal's reason: when the signal aborts, or at once if it
 * already has.
 *
 * @returns Function that removes the handler.
 */
export function addAbortHandler(
  signal: AbortSignal | undefined,
  handler: (reason: unknown) => void,
): () => void {
  if (!signal) return () => {};
  if (signal.aborted) {
    handler(signal.reason);
    return () => {};
  }
  const listener = () => handler(signal.reason);
  signal.addEventListener('abort', listener, {once: true});
  return () => signal.removeEventListener('abort', listener);
}

/** Settles like the promise, but rejects with the signal's reason once the signal aborts. */
export function rejectOnAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const removeHandler = addAbortHandler(signal, reject);
    promise.then(resolve, reject).finally(removeHandler);
  });
}
