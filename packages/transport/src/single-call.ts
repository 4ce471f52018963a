import {addAbortHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock} from '@hollowstack/clock';
import {
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {AnswerGuard} from './answer-guard.ts';
import {AnswerLimitError} from './answer-limit-error.ts';
import {NoPathError, type Connection, type Connector} from './connector.ts';
import {
  TransportError,
  UnusedConnectionError,
  type SendProgress,
} from './http-exchange.ts';
import type {MemoryBudget, MemoryReservation} from './memory-budget.ts';
import {waitForPendingEvents} from './pending-events.ts';
import {TurnPacer} from './turn-pacer.ts';

/** Bytes of a body from which on it shares the turns of the event loop with other large ones. */
const LARGE_BODY_BYTES = 64 * 1024;

/** Shared by all calls, since they run in the same event loop. */
const pacer = new TurnPacer();

/** A request that is sent without changes to its headers. */
export interface SentRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, in the order and spelling in which they are sent. */
  readonly headers: readonly string[];
  /** Undefined if the request has no body. */
  readonly body: Buffer | undefined;
}

/** The upstream of a call, and what is sent to it. */
export interface SingleCallRequest {
  readonly address: string;
  /** Milliseconds within which the connection must be established. */
  readonly connectTimeoutMs: number;
  /**
   * Called once the connection is established, before the first byte is sent. Returns undefined
   * if the call may no longer be sent: the upstream may have announced in the meantime that it
   * accepts no more calls, or its caller may have gone.
   */
  readonly createRequest: () => SentRequest | undefined;
}

/** Dependencies of SingleCall. */
export interface SingleCallParts {
  readonly clock: Clock;
  readonly connector: Connector;
}

/**
 * One request on a connection of its own. Since the connection is never shared, bytes
 * after the answer cannot be taken for another request's answer, and no request that
 * may be sent only once is lost on an idle connection that was closed.
 */
export class SingleCall {
  /** Resolves with the head of the answer; rejects with a TransportError. */
  readonly response: Promise<IncomingMessage>;
  private readonly connecting = new AbortController();
  private outgoing: ClientRequest | undefined;
  private progress: SendProgress = 'none';
  private incoming: IncomingMessage | undefined;
  private readonly guard = new AnswerGuard(error => this.fail(error));
  private isCancelled = false;
  private carrier: string | undefined;

  constructor(request: SingleCallRequest, {clock, connector}: SingleCallParts) {
    this.response = this.run(request, {clock, connector});
    this.response.catch(() => {});
  }

  /** Id of the peer that forwards the call; undefined if none does, or not yet. */
  get via(): string | undefined {
    return this.carrier;
  }

  /** Returns whether a byte of the request may have been sent. */
  mayHaveBeenSent(): boolean {
    return this.progress !== 'none';
  }

  /** Returns whether this side closed the connection. */
  hasCancelled(): boolean {
    return this.isCancelled;
  }

  /** Closes the connection immediately. */
  cancel(reason: string): void {
    this.isCancelled = true;
    if (!this.outgoing) {
      this.connecting.abort(new Error(reason));
      return;
    }
    // After a complete answer no error is needed, and its stack trace is expensive.
    const isComplete = this.incoming?.complete === true;
    this.outgoing.destroy(isComplete ? undefined : new Error(reason));
  }

  /** Closes the connection, because the answer exceeds a limit; its reader gets the error. */
  fail(error: AnswerLimitError): void {
    this.outgoing?.destroy(error);
  }

  /**
   * Yields the body of the answer.
   *
   * @throws TransportError if it breaks off or exceeds a limit.
   */
  async *readChunks(): AsyncGenerator<Buffer, void, void> {
    const incoming = await this.response;
    let byteCount = 0;
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        this.guard.recordBody(chunk.length);
        byteCount += chunk.length;
        yield chunk;
        if (byteCount > LARGE_BODY_BYTES) await pacer.waitForTurn();
      }
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      throw new TransportError(message, 'some', error);
    }
    if (!incoming.complete) {
      throw new TransportError('the answer broke off', 'some');
    }
  }

  private async run(
    request: SingleCallRequest,
    {clock, connector}: SingleCallParts,
  ): Promise<IncomingMessage> {
    const {stream, via} = await this.connect(request, connector);
    this.carrier = via;
    // A process that stood still gets all events at once, the connection perhaps before the close
    // by which the caller has given up the call.
    await waitForPendingEvents(clock);
    if (stream.destroyed) throw new UnusedConnectionError();
    const sentRequest = this.isCancelled ? undefined : request.createRequest();
    if (!sentRequest) {
      this.isCancelled = true;
      stream.destroy();
      throw new TransportError('withdrawn before it was sent', 'none');
    }
    this.progress = 'some';
    return this.send(sentRequest, stream);
  }

  private async connect(
    {address, connectTimeoutMs: timeoutMs}: SingleCallRequest,
    connector: Connector,
  ): Promise<Connection> {
    const {signal} = this.connecting;
    try {
      return await connector.connect({address, timeoutMs, signal});
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      throw new TransportError(message, 'none', error);
    }
  }

  // Runs in the same turn of the event loop as the look at the stream's state, so that no event of
  // it is missed.
  private send(request: SentRequest, stream: Duplex): Promise<IncomingMessage> {
    const headers = [...request.headers];
    if (request.body) headers.push('Content-Length', `${request.body.length}`);
    const outgoing = startRequest({
      method: request.method,
      path: request.path,
      headers,
      createConnection: () => stream,
    });
    this.outgoing = outgoing;
    outgoing.once('socket', socket => {
      const stopWatching = this.guard.watchStream(socket);
      outgoing.once('close', stopWatching);
    });
    const response = new Promise<IncomingMessage>((resolve, reject) => {
      outgoing.once('response', incoming => {
        // The body's reader handles its errors; without a reader, an unhandled
        // 'error' event would end the process.
        incoming.on('error', () => {});
        this.incoming = incoming;
        this.guard.recordHead(incoming);
        resolve(incoming);
      });
      outgoing.on('error', error => {
        reject(new TransportError(error.message, this.progress, error));
        // Node.js takes an answer that ends with its connection for complete even if the
        // connection was reset.
        if (this.incoming?.complete === false) this.incoming.destroy(error);
      });
      outgoing.once('close', () => {
        if (this.incoming) return;
        reject(new TransportError('closed without an answer', this.progress));
      });
    });
    outgoing.end(request.body);
    return response;
  }
}

/** Limits of an answer that is read completely. */
export interface WholeBodyLimits {
  readonly maxBytes: number;
  /** Counts the bytes while they are read, and afterwards until it is released. */
  readonly reservation: MemoryReservation;
}

/**
 * Reads the body of an answer to its end.
 *
 * @throws TransportError if the body breaks off or exceeds a limit.
 */
export async function readWholeBody(
  call: SingleCall,
  {maxBytes, reservation}: WholeBodyLimits,
): Promise<Buffer> {
  const incoming = await call.response;
  checkSize(getStatedBytes(incoming), maxBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of call.readChunks()) {
    chunks.push(chunk);
    size += chunk.length;
    checkSize(size, maxBytes);
    reservation.setBytes(size);
  }
  reservation.finishReading();
  return Buffer.concat(chunks, size);
}

function checkSize(byteCount: number, maxBytes: number): void {
  if (byteCount <= maxBytes) return;
  const message = `the answer has ${byteCount} bytes, ${maxBytes} are allowed`;
  throw new AnswerLimitError('body', message);
}

// An answer to HEAD states the length of a body that it does not have.
function getStatedBytes({
  headers,
  req,
}: IncomingMessage & {req?: {method?: string}}): number {
  if (req?.method === 'HEAD') return 0;
  return Number(headers['content-length'] ?? 0);
}

/** System error codes for a connection that the other side closed. */
const CONNECTION_LOST_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
]);

/**
 * Returns whether a call failed because its connection ended before the answer was
 * complete. False for malformed answers and for calls that this side cancelled.
 */
export function isConnectionLost(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const {code} = error as NodeJS.ErrnoException;
  if (code !== undefined) return CONNECTION_LOST_CODES.has(code);
  return isConnectionLost(error.cause);
}

/** Returns whether a call failed because no process listens at the address. */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || isConnectionRefused(error.cause);
}

/** Returns whether a call failed because this instance has no path to its upstream. */
export function isPathError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return error instanceof NoPathError || isPathError(error.cause);
}

/** Limits of a call whose answer is read completely. */
export interface WholeCallLimits {
  /** Milliseconds until the answer must be complete. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** Closes the connection once it aborts. */
  readonly signal?: AbortSignal;
}

/** Dependencies of `callForWholeAnswer`. */
export interface WholeCallParts {
  readonly clock: Clock;
  readonly connector: Connector;
  readonly memory: MemoryBudget;
}

/** An answer that was read completely. */
export interface WholeAnswer {
  readonly head: IncomingMessage;
  readonly body: Buffer;
}

/** A call got no complete answer within its time-out. */
export class AnswerTimeoutError extends TransportError {
  constructor(progress: SendProgress) {
    super('no answer in time', progress);
    this.name = 'AnswerTimeoutError';
  }
}

/**
 * Sends one request on a connection of its own and reads the answer completely.
 *
 * @throws AnswerTimeoutError on a time-out; TransportError on any other failure.
 */
export async function callForWholeAnswer(
  request: SingleCallRequest,
  {clock, connector, memory}: WholeCallParts,
  limits: WholeCallLimits,
): Promise<WholeAnswer> {
  const call = new SingleCall(request, {clock, connector});
  const reservation = memory.createReservation(error => call.fail(error));
  let hasTimedOut = false;
  const timer = scheduleTimeout(clock, limits.timeoutMs, () => {
    hasTimedOut = true;
    call.cancel('no answer in time');
  });
  const cancelCall = () => call.cancel('given up');
  const removeAbortHandler = addAbortHandler(limits.signal, cancelCall);
  try {
    const head = await call.response;
    const {maxBytes} = limits;
    const body = await readWholeBody(call, {maxBytes, reservation});
    return {head, body};
  } catch (error) {
    if (!hasTimedOut) throw error;
    throw new AnswerTimeoutError(call.mayHaveBeenSent() ? 'some' : 'none');
  } finally {
    timer.cancel();
    removeAbortHandler();
    reservation.release();
    call.cancel('done');
  }
}
