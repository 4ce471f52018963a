import type {Clock} from '@hollowstack/clock';
import {splitAddress} from '@hollowstack/types';
import {
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {TransportError, type SendProgress} from './http-exchange.ts';

/** A request to be sent as it is. */
export interface SingleCallRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, in the order and spelling to be sent. */
  readonly headers: readonly string[];
  /** Absent where the request has no body. */
  readonly body: Buffer | undefined;
  /** Milliseconds within which the connection must stand. */
  readonly connectTimeoutMs: number;
  /**
   * Asked once the connection stands, before the first byte leaves: whoever the
   * call was meant for may have said meanwhile that it takes no more.
   */
  readonly mayStillSend?: () => boolean;
}

/**
 * One request on a connection of its own. No other request ever shares the
 * connection, so that bytes after the answer can belong to nobody, and an idle
 * connection that was closed can cost nobody its one send.
 */
export class SingleCall {
  /** Resolves with the head of the answer; rejects with a TransportError. */
  readonly response: Promise<IncomingMessage>;
  private readonly outgoing: ClientRequest;
  private progress: SendProgress = 'none';
  private incoming: IncomingMessage | undefined;
  private isCancelled = false;

  constructor(request: SingleCallRequest, clock: Clock) {
    const {host, port} = splitAddress(request.address);
    const headers = [...request.headers];
    if (request.body) headers.push('Content-Length', `${request.body.length}`);
    this.outgoing = startRequest({
      host,
      port,
      method: request.method,
      path: request.path,
      headers,
      agent: false,
    });
    const timer = clock.schedule(request.connectTimeoutMs, () => {
      if (this.progress === 'none') this.cancel('the connection did not stand');
    });
    this.outgoing.once('socket', socket => {
      socket.setNoDelay(true);
      // Registered before Node's own listener, which writes what is waiting.
      socket.once('connect', () => {
        timer.cancel();
        if (request.mayStillSend?.() === false) {
          this.cancel('withdrawn before it was sent');
          return;
        }
        this.progress = 'some';
      });
    });
    this.response = new Promise((resolve, reject) => {
      this.outgoing.once('response', incoming => {
        // Errors of the body reach its reader; a reader may be gone by then.
        incoming.on('error', () => {});
        this.incoming = incoming;
        resolve(incoming);
      });
      this.outgoing.on('error', error => {
        timer.cancel();
        reject(new TransportError(error.message, this.progress, error));
      });
      this.outgoing.once('close', () => {
        timer.cancel();
        if (this.incoming) return;
        reject(new TransportError('closed without an answer', this.progress));
      });
    });
    this.response.catch(() => {});
    this.outgoing.end(request.body);
  }

  /** Returns whether a byte of the request may have left. */
  mayHaveBeenSent(): boolean {
    return this.progress !== 'none';
  }

  /** Returns whether this side closed the connection. */
  hasCancelled(): boolean {
    return this.isCancelled;
  }

  /** Closes the connection at once. */
  cancel(reason: string): void {
    this.isCancelled = true;
    // An error nobody reads still costs its stack trace: 3 % of a streamed
    // request's processor time (profile of the first 75 of a process).
    const isOver = this.incoming?.complete === true;
    this.outgoing.destroy(isOver ? undefined : new Error(reason));
  }
}

/**
 * Reads the whole body of an answer.
 *
 * @throws TransportError where it breaks off or is larger than `maxBytes`.
 */
export async function readWholeBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) throw new Error('the answer is too large');
    }
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new TransportError(message, 'some', error);
  }
  if (!incoming.complete) {
    throw new TransportError('the answer broke off', 'some');
  }
  return Buffer.concat(chunks, size);
}

/** Codes of errors by which the system tells that the other side closed a connection. */
const LOST_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Returns whether a call failed because its connection ended before the answer was
 * whole. False for bytes that are no answer, and for what this side ended itself.
 */
export function isConnectionLost(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const {code} = error as NodeJS.ErrnoException;
  if (code !== undefined) return LOST_CODES.has(code);
  return isConnectionLost(error.cause);
}

/** Returns whether a call failed because nobody listens at the address. */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || isConnectionRefused(error.cause);
}

/** Bounds of a call whose answer is read whole. */
export interface WholeCallLimits {
  /** Milliseconds for the whole answer. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** Closes the connection once it aborts. */
  readonly signal?: AbortSignal;
}

/** An answer that was read whole. */
export interface WholeAnswer {
  readonly head: IncomingMessage;
  readonly body: Buffer;
}

/** A call brought no whole answer in its time. */
export class AnswerTimeoutError extends TransportError {
  constructor(progress: SendProgress) {
    super('no answer in time', progress);
    this.name = 'LateAnswerError';
  }
}

/**
 * Sends one request on a connection of its own and reads the whole answer.
 *
 * @throws LateAnswerError where its time runs out, else a TransportError.
 */
export async function callForWholeAnswer(
  request: SingleCallRequest,
  clock: Clock,
  limits: WholeCallLimits,
): Promise<WholeAnswer> {
  const call = new SingleCall(request, clock);
  let isLate = false;
  const timer = clock.schedule(limits.timeoutMs, () => {
    isLate = true;
    call.cancel('no answer in time');
  });
  const cancelCall = () => call.cancel('given up');
  limits.signal?.addEventListener('abort', cancelCall, {once: true});
  try {
    if (limits.signal?.aborted) cancelCall();
    const head = await call.response;
    const body = await readWholeBody(head, limits.maxBytes);
    return {head, body};
  } catch (error) {
    if (!isLate) throw error;
    throw new AnswerTimeoutError(call.mayHaveBeenSent() ? 'some' : 'none');
  } finally {
    timer.cancel();
    limits.signal?.removeEventListener('abort', cancelCall);
    call.cancel('done');
  }
}
