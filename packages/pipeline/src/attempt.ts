import type {Clock, Timer} from '@hollowstack/clock';
import {
  TransportError,
  type HttpClient,
  type HttpHeaders,
  type HttpResponse,
} from '@hollowstack/transport';
import {
  MAX_BACK_OFF_MS,
  parseRetryAfterMs,
} from '@hollowstack/upstream-signals';
import {AttemptError} from './attempt-error.ts';

/** One call to an upstream, ready to be sent. */
export interface UpstreamCall {
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
}

/**
 * Header that carries the attempt's id; an upstream that echoes it is checked.
 */
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
/** Header that carries the request's id. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Header by which an upstream says that it did not run what it refuses. */
const NOT_RUN_HEADER = 'x-not-run';

/** Header by which it says for how many seconds it wants no work. */
const RETRY_AFTER_HEADER = 'retry-after';

/** HTTP status. */
const TOO_MANY_REQUESTS = 429;
/** HTTP status. */
const SERVICE_UNAVAILABLE = 503;

/** What an attempt needs to know of its upstream, and tells of it. */
export interface AttemptMonitor {
  /** Milliseconds without a byte from the upstream after which to give up. */
  readonly silenceMs: number;
  /** Returns when the upstream last gave a sign of being at work. */
  getLastActivityAtMs(): number;
  /** Called for each chunk. */
  recordChunk(): void;
}

/**
 * One attempt: sends a call and passes its answer on, unless the upstream
 * falls silent.
 */
export class Attempt {
  private readonly client: HttpClient;
  private readonly clock: Clock;
  private readonly attemptId: string;
  private readonly monitor: AttemptMonitor;
  private readonly controller = new AbortController();
  private readonly parent: AbortSignal;
  private readonly cancelWithParent = () =>
    this.cancelAttempt('given-up', 'stopped');
  private failure: AttemptError | undefined;
  private lastByteAtMs: number;
  private readonly startedAtMs: number;
  private firstByteMs: number | undefined;
  private timer: Timer;

  /**
   * @param parent Gives the attempt up when it aborts.
   */
  constructor(
    client: HttpClient,
    clock: Clock,
    attemptId: string,
    monitor: AttemptMonitor,
    parent: AbortSignal,
  ) {
    this.client = client;
    this.clock = clock;
    this.attemptId = attemptId;
    this.monitor = monitor;
    this.parent = parent;
    this.startedAtMs = clock.getNow();
    this.lastByteAtMs = this.startedAtMs;
    this.timer = this.scheduleCheck(monitor.silenceMs);
    parent.addEventListener('abort', this.cancelWithParent, {once: true});
    if (parent.aborted) this.cancelWithParent();
  }

  /** Sends the call; resolves with an answer whose body fails with AttemptError too. */
  async send(address: string, call: UpstreamCall): Promise<HttpResponse> {
    try {
      const response = await this.client.send(address, {
        ...call,
        headers: {...call.headers, [ATTEMPT_ID_HEADER]: this.attemptId},
        signal: this.controller.signal,
      });
      this.lastByteAtMs = this.clock.getNow();
      this.checkHead(response);
      return {...response, body: this.watchBody(response.body)};
    } catch (error) {
      throw this.toAttemptError(error);
    }
  }

  /**
   * Returns milliseconds until the first byte of the body; undefined before it.
   * The head tells nothing: engines send it before they begin.
   */
  getFirstByteMs(): number | undefined {
    return this.firstByteMs;
  }

  /** Ends the attempt; an answer still under way is cut off. */
  close(): void {
    this.timer.cancel();
    this.parent.removeEventListener('abort', this.cancelWithParent);
    this.controller.abort(new Error('attempt closed'));
  }

  private checkHead(response: HttpResponse): void {
    const echo = response.headers[ATTEMPT_ID_HEADER];
    if (echo !== undefined && echo !== this.attemptId) {
      throw new AttemptError('crossed', `answer belongs to attempt ${echo}`);
    }
    const {status, headers} = response;
    const isRefusal =
      status === SERVICE_UNAVAILABLE || status === TOO_MANY_REQUESTS;
    if (isRefusal && headers[NOT_RUN_HEADER] !== undefined) {
      throw new AttemptError('not-run', `upstream refused with ${status}`, {
        retryAfterMs: readRetryAfterMs(headers),
      });
    }
  }

  private async *watchBody(
    body: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of body) {
        if (this.failure) throw this.failure;
        this.lastByteAtMs = this.clock.getNow();
        this.monitor.recordChunk();
        this.firstByteMs ??= this.lastByteAtMs - this.startedAtMs;
        yield chunk;
      }
    } catch (error) {
      throw this.toAttemptError(error);
    }
    if (this.failure) throw this.failure;
  }

  // One timer per attempt that looks at the time of the last byte; one per
  // chunk would cost more than the relay of the chunk itself.
  private scheduleCheck(delayMs: number): Timer {
    return this.clock.schedule(delayMs, () => {
      const {silenceMs} = this.monitor;
      const ownInactivityMs = this.clock.getNow() - this.lastByteAtMs;
      const inactivityMs = this.getInactivityMs(ownInactivityMs);
      if (inactivityMs >= silenceMs) {
        this.cancelAttempt(
          'silent',
          `no byte for ${Math.round(ownInactivityMs)} ms`,
        );
        return;
      }
      // At least a millisecond: a rest too small to move the clock's number on
      // would be checked for ever.
      this.timer = this.scheduleCheck(Math.max(1, silenceMs - inactivityMs));
    });
  }

  // An upstream that answers others is not stuck: what is silent here waits
  // in its queue, and sending it elsewhere would only add to the load.
  private getInactivityMs(ownInactivityMs: number): number {
    const sinceActivityMs =
      this.clock.getNow() - this.monitor.getLastActivityAtMs();
    return Math.min(ownInactivityMs, sinceActivityMs);
  }

  private cancelAttempt(failure: 'silent' | 'given-up', message: string): void {
    this.failure ??= new AttemptError(failure, message);
    this.controller.abort(this.failure);
  }

  private toAttemptError(error: unknown): AttemptError {
    const hasSentNothing =
      error instanceof TransportError && error.progress === 'none';
    if (hasSentNothing) {
      const failure =
        this.failure?.failure === 'given-up' ? 'given-up' : 'refused';
      return new AttemptError(failure, error.message, {
        cause: error,
        isUnsent: true,
      });
    }
    if (this.failure) return this.failure;
    if (error instanceof AttemptError) return error;
    const message = error instanceof Error ? error.message : String(error);
    return new AttemptError('broken', message, {cause: error});
  }
}

// What cannot be read counts as nothing named; the refusal itself is logged.
function readRetryAfterMs(headers: HttpHeaders): number | undefined {
  const requestedMs = parseRetryAfterMs(headers[RETRY_AFTER_HEADER] ?? '');
  if (requestedMs === undefined) return undefined;
  return Math.min(requestedMs, MAX_BACK_OFF_MS);
}
