import {addAbortHandler, addCloseHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock, type Timer} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import {isRepeatable, type RegisteredUpstream} from '@hollowstack/routes';
import {
  SingleCall,
  TransportError,
  UnusedConnectionError,
  type AnswerLimit,
  type Connector,
  findExceededLimit,
  type MemoryBudget,
  type MemoryReservation,
  isConnectionLost,
  isConnectionRefused,
  isPathError,
  readWholeBody,
} from '@hollowstack/transport';
import {
  toAnswerHead,
  type UpstreamSignals,
} from '@hollowstack/upstream-signals';
import type {IncomingMessage} from 'node:http';
import {
  findHeadProblem,
  isCloseDelimited,
  writeError,
  writeUpstreamAnswer,
} from './answer-writer.ts';
import {listEndToEndHeaders} from './header-list.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import {StreamRelay} from './stream-relay.ts';

/** Stage results that an upstream reads before it runs the request. */
export interface AttemptInputs {
  /** Value of the request header that lists their handles. */
  readonly header: string;
  /** Called once the upstream has read them, so that the stage upstreams can free them. */
  readonly release: () => void;
}

/** Dependencies and inputs of an Attempt. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly connector: Connector;
  readonly memory: MemoryBudget;
  readonly protocol: RequestProtocol;
  readonly request: RoutedRequest;
  readonly upstream: RegisteredUpstream;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  /**
   * Called immediately before the first byte is sent; returns false if the request may not
   * be sent any more, for example because the upstream meanwhile reported that it leaves or
   * asked for a back-off.
   */
  readonly acquireSend: () => boolean;
  /** Stage results that the upstream reads; undefined for a request without stages. */
  readonly inputs: AttemptInputs | undefined;
  /** Whether the inputs are released at the first event of a stream, not at its end. */
  readonly releasesAtFirstEvent: boolean;
  /**
   * Called with the milliseconds to the first event of a stream. A returned promise delays
   * the event.
   */
  readonly handleFirstEvent: (firstMs: number) => Promise<void> | undefined;
  readonly inactivity: {
    /**
     * Milliseconds without an event of a stream, or without a complete plain answer, after
     * which the upstream counts as unresponsive.
     */
    readonly timeoutMs: number;
    /** Returns whether the attempt is cancelled in favour of another one. */
    readonly handleTimeout: () => boolean;
  };
}

/** Outcome of one attempt. */
export type AttemptOutcome =
  /**
   * The complete answer was sent to the caller. `firstMs` is the time to the first event of a
   * stream, or to the complete plain answer.
   */
  | {
      readonly type: 'answered';
      readonly firstMs: number;
      /** Whether it is a success, and its framing proves that it is complete. */
      readonly isProven: boolean;
    }
  /** No byte of the request was sent. */
  | {
      readonly type: 'unsent';
      readonly reason: string;
      /** Whether this instance withdrew it, which says nothing about the upstream's health. */
      readonly isWithdrawn: boolean;
      /** Whether the connection was refused, so that no process listens at the address. */
      readonly isRefused: boolean;
      /** Whether this instance has no path to the upstream, which may be sound. */
      readonly isPathLost: boolean;
      /** Whether the connection was established and lost before it was used. */
      readonly hasLostConnection: boolean;
    }
  /** The upstream guarantees that it has not run the request. */
  | {
      readonly type: 'not-run';
      readonly reason: string;
      /** Whether another upstream has taken over the address of the intended one. */
      readonly isMisdirected: boolean;
      /** Whether a stage result that the request reads was lost. */
      readonly isInputGone: boolean;
    }
  /** The upstream may have run the request. */
  | {
      readonly type: 'failed';
      readonly reason: string;
      /** Whether this instance aborted it, which says nothing about the upstream's health. */
      readonly isLocallyAborted: boolean;
      /** Whether the connection was lost during the attempt, as happens if the upstream crashes. */
      readonly hasLostConnection: boolean;
      /** The limit that the answer exceeded; undefined for another reason. */
      readonly exceededLimit: AnswerLimit | undefined;
      /**
       * Sends the upstream's own error answer to the caller; set if it arrived completely and
       * no part of an answer was sent yet.
       */
      readonly deliverFailure?: () => void;
    };

/** Milliseconds for establishing a connection; about a hundred round trips within a region. */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Maximum size in bytes of a plain answer, which is buffered until it is complete; larger
 * buffers could exhaust an instance with 250 MB of memory.
 */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** HTTP statuses that promise callers that their request was not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);
/** HTTP status: the address now belongs to another upstream. */
const MISDIRECTED = 421;
/** HTTP status: a stage result that the request reads was lost. */
const INPUT_GONE = 409;

/** Sends a request to one upstream and passes the answer to the caller. */
export class Attempt {
  private readonly parts: AttemptParts;
  private readonly startedAtMs: number;
  /** Whether a whole body occupies memory until the caller has got its answer. */
  private holdsBody = false;
  private inactivityTimer: Timer | undefined;

  constructor(parts: AttemptParts) {
    this.parts = parts;
    this.startedAtMs = parts.clock.getNow();
  }

  async run(): Promise<AttemptOutcome> {
    const {clock, request, upstream, connector, acquireSend} = this.parts;
    let isWithdrawn = false;
    const ranBefore = request.getRunStatus();
    const call: SingleCall = new SingleCall(
      {
        address: upstream.address,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        // Checked again once the connection is established: that may take 0.4 s, a fifth of
        // the time in which a leaving upstream must stop getting work, and fifty requests
        // may be connecting while the first answer asks for a back-off.
        createRequest: () => {
          request.via = call.via;
          isWithdrawn = !acquireSend();
          // The upstream is given its full time, however long the path took to find.
          if (isWithdrawn) return undefined;
          request.presence.recordSend();
          request.presence.waitsFor = 'upstream';
          this.watchInactivity(call);
          return {
            method: request.incoming.method ?? 'GET',
            path: request.incoming.url ?? '/',
            headers: this.createHeaders(),
            body: request.body,
          };
        },
      },
      {clock, connector},
    );
    const removeAbortHandler = addAbortHandler(request.signal, () =>
      call.cancel('the request was given up'),
    );
    request.recordRan('unknown');
    request.addAttempt(upstream);
    this.watchInactivity(call);
    const reservation = this.parts.memory.createReservation(error =>
      call.fail(error),
    );
    try {
      const head = await call.response;
      this.recordSignals(head);
      const outcome = await this.handleHead(head, call, reservation);
      if (outcome.type === 'not-run') request.recordNotRun(ranBefore);
      if (outcome.type === 'not-run' && outcome.isMisdirected) {
        request.removeAttempt();
      }
      return outcome;
    } catch (error) {
      const isUnsent =
        error instanceof TransportError && error.progress === 'none';
      const reason = error instanceof Error ? error.message : String(error);
      if (isUnsent && !call.mayHaveBeenSent()) {
        request.removeAttempt();
        request.recordNotRun(ranBefore);
        const isRefused = isConnectionRefused(error);
        isWithdrawn ||= request.signal.aborted;
        const isPathLost = isPathError(error);
        const hasLostConnection = error instanceof UnusedConnectionError;
        return {
          type: 'unsent',
          reason,
          isWithdrawn,
          isRefused,
          isPathLost,
          hasLostConnection,
        };
      }
      const exceededLimit = findExceededLimit(error);
      const isLocallyAborted =
        request.signal.aborted || exceededLimit === 'instance';
      const hasLostConnection = !call.hasCancelled() && isConnectionLost(error);
      return {
        type: 'failed',
        reason,
        isLocallyAborted,
        hasLostConnection,
        exceededLimit,
      };
    } finally {
      removeAbortHandler();
      this.inactivityTimer?.cancel();
      call.cancel('done');
      if (!this.holdsBody) reservation.release();
    }
  }

  // Signals in the headers are valid even if the rest of the answer turns out to be invalid.
  private recordSignals(head: IncomingMessage): void {
    const {signals, upstream, request} = this.parts;
    signals.recordAnswer({
      upstream,
      head: toAnswerHead(head),
      requestId: request.facts.requestId,
      sentAtMs: this.startedAtMs,
    });
  }

  // An upstream may die without closing its connection, or run a request and lose the
  // answer.
  private watchInactivity(call: SingleCall): void {
    const {clock, inactivity} = this.parts;
    this.inactivityTimer?.cancel();
    const {timeoutMs, handleTimeout} = inactivity;
    this.inactivityTimer = scheduleTimeout(clock, timeoutMs, () => {
      if (handleTimeout()) call.cancel('the upstream is silent');
    });
  }

  private createHeaders(): string[] {
    const {protocol, request, upstream, inputs, clock} = this.parts;
    const names = protocol.headers;
    const {facts} = request;
    const headers = listEndToEndHeaders(
      request.incoming.rawHeaders,
      new Set(['content-length', 'expect', ...protocol.systemHeaders]),
    );
    headers.push(
      names.deadlineMs,
      `${Math.max(1, request.getRemainingMs(clock))}`,
      names.targetUpstream,
      protocol.renderTargetUpstream(upstream.id),
    );
    if (facts.workspace) headers.push(names.workspace, facts.workspace.name);
    if (inputs) headers.push(names.stageInputs, inputs.header);
    const lastEventId = request.lastEventId;
    if (lastEventId === undefined) return headers;
    return [
      ...listEndToEndHeaders(headers, new Set([names.lastEventId])),
      names.lastEventId,
      lastEventId,
    ];
  }

  private async handleHead(
    head: IncomingMessage,
    call: SingleCall,
    reservation: MemoryReservation,
  ): Promise<AttemptOutcome> {
    const {request, protocol} = this.parts;
    const names = protocol.headers;
    const status = head.statusCode ?? 0;
    if (status === MISDIRECTED || head.headers[names.notRun] !== undefined) {
      return {
        type: 'not-run',
        reason: `answered ${status}, not run`,
        isMisdirected: status === MISDIRECTED,
        isInputGone: status === INPUT_GONE,
      };
    }
    const problem = this.findProblem(head);
    if (problem) return createFailedOutcome(problem);
    const isStream =
      request.facts.route.repeatability === 'stream' && isSuccess(status);
    return isStream
      ? this.deliverStream(head, call, reservation)
      : this.deliverWhole(head, call, reservation);
  }

  private findProblem(head: IncomingMessage): string | undefined {
    const {request, protocol} = this.parts;
    const names = protocol.headers;
    const headProblem = findHeadProblem(head);
    if (headProblem) return headProblem;
    if (head.headers[names.requestId] !== request.facts.requestId) {
      return 'the answer belongs to another request';
    }
    if (head.headers['content-encoding'] !== undefined) {
      return 'the answer is encoded, so it is not the upstream’s body';
    }
    const isUnsigned = head.headers[names.signature] === undefined;
    if (isSuccess(head.statusCode ?? 0) && isUnsigned) {
      return 'the answer carries no signature';
    }
    return undefined;
  }

  private async deliverWhole(
    head: IncomingMessage,
    call: SingleCall,
    reservation: MemoryReservation,
  ): Promise<AttemptOutcome> {
    const {request} = this.parts;
    const status = head.statusCode ?? 0;
    const body = await readWholeBody(call, {
      maxBytes: MAX_BUFFERED_BYTES,
      reservation,
    });
    request.recordRan('yes');
    this.holdsBody = !request.outgoing.closed;
    addCloseHandler(request.outgoing, () => reservation.release());
    if (body.length > 0 && isCloseDelimited(head)) await this.checkEnd();
    const {outgoing} = request;
    if (this.hasFalsePromise(status)) return this.createReplacedFailure(status);
    if (status >= 500) {
      return {
        ...createFailedOutcome(`answered ${status}`),
        deliverFailure: outgoing.headersSent
          ? undefined
          : () => writeUpstreamAnswer(outgoing, head, body),
      };
    }
    // A stream that has begun can only be continued by another stream.
    if (outgoing.headersSent) {
      return createFailedOutcome(`answered ${status}`);
    }
    writeUpstreamAnswer(outgoing, head, body);
    return {
      type: 'answered',
      firstMs: this.getElapsedMs(),
      isProven: isSuccess(status) && !isCloseDelimited(head),
    };
  }

  // An upstream that has not run a request says so in a header; without it, callers must not take
  // the status for a promise.
  private hasFalsePromise(status: number): boolean {
    return (
      PROMISING_STATUSES.has(status) &&
      !isRepeatable(this.parts.request.facts.route)
    );
  }

  private createReplacedFailure(status: number): AttemptOutcome {
    const {request, protocol} = this.parts;
    const {outgoing} = request;
    const reason = `answered ${status}, but may have run the request`;
    const error = new HollowstackError('upstream-failed', reason, {ran: 'yes'});
    return {
      ...createFailedOutcome(reason),
      deliverFailure: outgoing.headersSent
        ? undefined
        : () => writeError(outgoing, error, request.requestId, protocol),
    };
  }

  private async deliverStream(
    head: IncomingMessage,
    call: SingleCall,
    reservation: MemoryReservation,
  ): Promise<AttemptOutcome> {
    const {request, inputs} = this.parts;
    request.recordRan('yes');
    let firstMs: number | undefined;
    const handleEvents = () => {
      this.watchInactivity(call);
      if (firstMs !== undefined) return undefined;
      firstMs = this.getElapsedMs();
      const delay = this.parts.handleFirstEvent(firstMs);
      // The first event proves that the upstream has read its inputs. Storing them for a
      // possible resumption would occupy memory of the stage upstreams for the whole
      // stream; if the stream breaks off, the stages run again instead.
      if (this.parts.releasesAtFirstEvent) inputs?.release();
      return delay;
    };
    const relay = new StreamRelay({
      request,
      call,
      head,
      reservation,
      handleEvents,
      checkEnd: () => this.checkEnd(),
    });
    await relay.run();
    return {
      type: 'answered',
      firstMs: firstMs ?? this.getElapsedMs(),
      isProven: !isCloseDelimited(head),
    };
  }

  // The end of its connection ends an answer without a length, but the system ends the
  // connections of an upstream that has crashed in the same way. One that still accepts
  // connections has not crashed.
  private async checkEnd(): Promise<void> {
    const {connector, upstream, request} = this.parts;
    try {
      const {stream} = await connector.connect({
        address: upstream.address,
        timeoutMs: CONNECT_TIMEOUT_MS,
        signal: request.signal,
      });
      stream.destroy();
    } catch (error) {
      throw new TransportError(
        'the answer has no length, and its upstream accepts no connection since its end',
        'some',
        error,
      );
    }
  }

  private getElapsedMs(): number {
    return this.parts.clock.getNow() - this.startedAtMs;
  }
}

function createFailedOutcome(
  reason: string,
): Extract<AttemptOutcome, {type: 'failed'}> {
  return {
    type: 'failed',
    reason,
    isLocallyAborted: false,
    hasLostConnection: false,
    exceededLimit: undefined,
  };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
