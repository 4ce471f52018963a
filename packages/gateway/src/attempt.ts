import type {Clock, Timer} from '@hollowstack/clock';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {
  SingleCall,
  TransportError,
  isConnectionLost,
  isConnectionRefused,
  readWholeBody,
} from '@hollowstack/transport';
import {
  toAnswerHead,
  type UpstreamSignals,
} from '@hollowstack/upstream-signals';
import type {IncomingMessage} from 'node:http';
import {writeUpstreamAnswer} from './answer-writer.ts';
import {listEndToEndHeaders} from './header-list.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import {StreamRelay} from './stream-relay.ts';

/** Stage results that an upstream reads before it runs the request. */
export interface AttemptInputs {
  /** Value of the header that names them. */
  readonly header: string;
  /** Called once the upstream has read them, so that their makers can drop them. */
  readonly release: () => void;
}

/** What one attempt works with. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly protocol: RequestProtocol;
  readonly request: RoutedRequest;
  readonly upstream: RegisteredUpstream;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  /**
   * Asked right before the first byte leaves; returns whether the upstream has not said
   * meanwhile that it leaves or wants no work.
   */
  readonly acquireSend: () => boolean;
  /** Stage results that the upstream reads; undefined for a request without stages. */
  readonly inputs: AttemptInputs | undefined;
  /** Whether the inputs are released at the first event of a stream. */
  readonly releasesAtFirstEvent: boolean;
  /** Called with the milliseconds to the first event of a stream. */
  readonly handleFirstEvent: (firstMs: number) => void;
  readonly inactivity: {
    /** Milliseconds without a byte after which the upstream counts as silent. */
    readonly timeoutMs: number;
    /** Returns whether the attempt is given up for another one. */
    readonly handleTimeout: () => boolean;
  };
}

/** What became of one attempt. */
export type AttemptOutcome =
  /** The answer has gone to the caller whole. */
  | {readonly type: 'answered'; readonly firstMs: number}
  /** No byte of the request has left. */
  | {
      readonly type: 'unsent';
      readonly reason: string;
      /** Whether this side kept it back, which says nothing against the upstream. */
      readonly isWithdrawn: boolean;
      /** Whether the connection was refused, so that nobody listens there. */
      readonly isRefused: boolean;
    }
  /** The upstream promises that it has not run the request. */
  | {
      readonly type: 'not-run';
      readonly reason: string;
      /** Whether the upstream that was meant is no longer there. */
      readonly isMisdirected: boolean;
      /** Whether a result that the request reads was lost. */
      readonly isInputGone: boolean;
    }
  /** It may have run. */
  | {
      readonly type: 'failed';
      readonly reason: string;
      /** Whether this side ended the attempt, which says nothing of the upstream. */
      readonly isLocallyAborted: boolean;
      /** Whether the connection ended under it, as it does where the upstream crashes. */
      readonly hasLostConnection: boolean;
      /** Sends the upstream's own failure on, where it gave a whole one. */
      readonly deliverFailure?: () => void;
    };

/**
 * Milliseconds for a connection to stand; some hundred round trips within a
 * region.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Bytes of a plain answer that are held until it is whole; more would
 * endanger an instance of 250 MB.
 */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** HTTP status: the address belongs to another upstream now. */
const MISDIRECTED = 421;
/** HTTP status: a stage result that the request names is gone. */
const INPUT_GONE = 409;

/** Sends a request to one upstream and its answer to the caller. */
export class Attempt {
  private readonly parts: AttemptParts;
  private readonly startedAtMs: number;
  private inactivityTimer: Timer | undefined;

  constructor(parts: AttemptParts) {
    this.parts = parts;
    this.startedAtMs = parts.clock.getNow();
  }

  async run(): Promise<AttemptOutcome> {
    const {request, upstream, clock, acquireSend} = this.parts;
    let isWithdrawn = false;
    const ranBefore = request.getRan();
    const call = new SingleCall(
      {
        address: upstream.address,
        method: request.incoming.method ?? 'GET',
        path: request.incoming.url ?? '/',
        headers: this.createHeaders(),
        body: request.body,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        // A connection may take 0.4 s to stand, a fifth of the time in which an
        // upstream that leaves must get no more work; and fifty requests may wait for
        // theirs as the first answer asks for none.
        mayStillSend: () => {
          isWithdrawn = !acquireSend();
          return !isWithdrawn;
        },
      },
      clock,
    );
    const cancelCall = () => call.cancel('the request was given up');
    request.signal.addEventListener('abort', cancelCall, {once: true});
    request.recordRan('unknown');
    request.sentTo.push(upstream.id);
    this.watchInactivity(call);
    try {
      const head = await call.response;
      this.recordSignals(head);
      const outcome = await this.handleHead(head, call);
      if (outcome.type === 'not-run') request.recordNotRun(ranBefore);
      if (outcome.type === 'not-run' && outcome.isMisdirected) {
        request.sentTo.pop();
      }
      return outcome;
    } catch (error) {
      const isUnsent =
        error instanceof TransportError && error.progress === 'none';
      const reason = error instanceof Error ? error.message : String(error);
      if (isUnsent && !call.mayHaveBeenSent()) {
        request.sentTo.pop();
        request.recordNotRun(ranBefore);
        const isRefused = isConnectionRefused(error);
        return {type: 'unsent', reason, isWithdrawn, isRefused};
      }
      const isLocallyAborted = request.signal.aborted;
      const hasLostConnection = !call.hasCancelled() && isConnectionLost(error);
      return {
        type: 'failed',
        reason,
        isLocallyAborted,
        hasLostConnection,
      };
    } finally {
      request.signal.removeEventListener('abort', cancelCall);
      this.inactivityTimer?.cancel();
      call.cancel('done');
    }
  }

  // Read before anything else: they hold whatever the rest of the answer is.
  private recordSignals(head: IncomingMessage): void {
    const {signals, upstream, request} = this.parts;
    signals.recordAnswer({
      upstream,
      head: toAnswerHead(head),
      requestId: request.facts.requestId,
      sentAtMs: this.startedAtMs,
    });
  }

  // An upstream may die without a word, or run a request and lose its answer.
  private watchInactivity(call: SingleCall): void {
    const {clock, inactivity} = this.parts;
    this.inactivityTimer?.cancel();
    this.inactivityTimer = clock.schedule(inactivity.timeoutMs, () => {
      if (inactivity.handleTimeout()) call.cancel('the upstream is silent');
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
      ? this.deliverStream(head, call)
      : this.deliverWhole(head, status);
  }

  private findProblem(head: IncomingMessage): string | undefined {
    const {request, protocol} = this.parts;
    const names = protocol.headers;
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
    status: number,
  ): Promise<AttemptOutcome> {
    const {request} = this.parts;
    const body = await readWholeBody(head, MAX_BUFFERED_BYTES);
    request.recordRan('yes');
    const {outgoing} = request;
    if (status >= 500) {
      return {
        ...createFailedOutcome(`answered ${status}`),
        deliverFailure: outgoing.headersSent
          ? undefined
          : () => writeUpstreamAnswer(outgoing, head, body),
      };
    }
    // A run that continues a stream must be one itself.
    if (outgoing.headersSent) {
      return createFailedOutcome(`answered ${status}`);
    }
    writeUpstreamAnswer(outgoing, head, body);
    return {type: 'answered', firstMs: this.getElapsedMs()};
  }

  private async deliverStream(
    head: IncomingMessage,
    call: SingleCall,
  ): Promise<AttemptOutcome> {
    const {request, inputs} = this.parts;
    request.recordRan('yes');
    let firstMs: number | undefined;
    const relay = new StreamRelay(request, head, () => {
      this.watchInactivity(call);
      if (firstMs !== undefined) return;
      firstMs = this.getElapsedMs();
      this.parts.handleFirstEvent(firstMs);
      // The first event proves that the upstream has read its inputs. Keeping
      // them for a possible resumption would occupy their makers for the whole
      // stream; a stream that breaks off has its stages run again instead.
      if (this.parts.releasesAtFirstEvent) inputs?.release();
    });
    await relay.run();
    return {type: 'answered', firstMs: firstMs ?? this.getElapsedMs()};
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
  };
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
