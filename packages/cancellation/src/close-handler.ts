import type {EventEmitter} from 'node:events';

/** A stream that emits 'close', or an HTTP message. */
export interface ClosableStream extends EventEmitter {
  readonly destroyed: boolean;
}

/**
 * Calls a handler once: when a stream closes, or at once if it is already closed or closing.
 *
 * @returns Function that removes the handler.
 */
export function addCloseHandler(
  stream: ClosableStream,
  handler: () => void,
): () => void {
  if (stream.destroyed) {
    handler();
    return () => {};
  }
  stream.once('close', handler);
  return () => stream.off('close', handler);
}

/** Resolves once a stream accepts more bytes, or is closed. */
export function waitForDrain(stream: ClosableStream): Promise<void> {
  return new Promise(resolve => {
    const stopWaiting = () => {
      stream.off('drain', stopWaiting);
      removeCloseHandler();
      resolve();
    };
    stream.once('drain', stopWaiting);
    let removeCloseHandler = () => {};
    removeCloseHandler = addCloseHandler(stream, stopWaiting);
  });
}
