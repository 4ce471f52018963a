import {addAbortHandler} from '@hollowstack/cancellation';
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
 * Header that carries the attempt's id. If the response echoes it, the ids are
 * compared.
 */
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
/** Header that carries the request's id. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Response header of an upstream that refused a call without running it. */
const NOT_RUN_HEADER = 'x-not-run';

/** Response header that names an upstream's back-off. */
const RETRY_AFTER_HEADER = 'retry-after';

/** HTTP status. */
const TOO_MANY_REQUESTS = 429;
/** HTTP status. */
const SERVICE_UNAVAILABLE = 503;

/** The activity of an attempt's upstream, as the attempt reads and records it. */
export interface AttemptMonitor {
  /** Milliseconds after which the attempt is cancelled if its upstream shows no activity. */
  readonly silenceMs: number;
  /** Returns the time of the upstream's last activity, in milliseconds since the epoch. */
  getLastActivityAtMs(): number;
  /** Records a chunk of the response body. */
  recordChunk(): void;
}

/**
 * One attempt: sends a call and streams its response. Cancels itself if the
 * upstream shows no activity for too long.
 */
export class Attempt {
  private readonly client: HttpClient;
  private readonly clock: Clock;
  private readonly attemptId: string;
  private readonly monitor: AttemptMonitor;
  private readonly controller = new AbortController();
  private readonly removeAbortHandler: () => void;
  private failure: AttemptError | undefined;
  private lastByteAtMs: number;
  private readonly startedAtMs: number;
  private firstByteMs: number | undefined;
  private timer: Timer;

  /**
   * @param parent Cancels the attempt when it aborts.
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
    this.startedAtMs = clock.getNow();
    this.lastByteAtMs = this.startedAtMs;
    this.timer = this.scheduleCheck(monitor.silenceMs);
    this.removeAbortHandler = addAbortHandler(parent, () =>
      this.cancelAttempt('given-up', 'stopped'),
    );
  }

  /**
   * Sends the call and resolves once the head of the response has arrived.
   *
   * @throws AttemptError Reading the body of the response may throw it as well.
   */
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
   * Returns the milliseconds until the first byte of the body; undefined before
   * it arrived. The head does not count: engines send it before they begin work.
   */
  getFirstByteMs(): number | undefined {
    return this.firstByteMs;
  }

  /** Ends the attempt and aborts a response that is still arriving. */
  close(): void {
    this.timer.cancel();
    this.removeAbortHandler();
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

  // Uses one timer per attempt that checks the time of the last byte. A timer
  // per chunk would cost more than relaying the chunk itself.
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
      // Waits at least 1 ms: a remainder below the clock's floating-point
      // resolution would not advance the time, and the check would loop forever.
      this.timer = this.scheduleCheck(Math.max(1, silenceMs - inactivityMs));
    });
  }

  // An upstream that answers other requests is not stuck: this call waits in
  // its queue, and a retry elsewhere would only add load.
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

// An unreadable value counts as no back-off; the refusal itself is recorded as a decision.
function readRetryAfterMs(headers: HttpHeaders): number | undefined {
  const requestedMs = parseRetryAfterMs(headers[RETRY_AFTER_HEADER] ?? '');
  if (requestedMs === undefined) return undefined;
  return Math.min(requestedMs, MAX_BACK_OFF_MS);
}
