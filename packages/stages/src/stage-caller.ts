import type {Clock} from '@hollowstack/clock';
import {
  AnswerTimeoutError,
  TransportError,
  UnusedConnectionError,
  callForWholeAnswer,
  type Connector,
  type MemoryBudget,
  isConnectionLost,
  isPathError,
  type WholeAnswer,
  type WholeCallLimits,
} from '@hollowstack/transport';
import type {UpstreamSignals} from '@hollowstack/upstream-signals';
import type {
  EncodedRequest,
  RunAnswer,
  StagePiece,
  StageProtocol,
} from './stage-protocol.ts';

/** Timeout for connection setup; about a hundred round trips within a region. */
const CONNECT_TIMEOUT_MS = 400;
/** Maximum size of an answer; each result handle takes some tens of bytes. */
const MAX_ANSWER_BYTES = 1024 * 1024;
/** Timeout of a release, which no request waits for. */
const RELEASE_TIMEOUT_MS = 1000;

/** The upstream of a call. */
export interface StageTarget {
  readonly id: string;
  readonly service: string;
  readonly address: string;
}

/** A call with a batch of pieces. */
export interface StageCall {
  /** Milliseconds until the answer must be complete. */
  readonly timeoutMs: number;
  /**
   * Called right before the first byte is sent; returns the pieces that are sent, none if the
   * call is withdrawn.
   */
  readonly takePieces: () => readonly StagePiece[];
  /** Closes the call once it aborts. */
  readonly signal: AbortSignal;
}

/** What a failed call reveals about its upstream. */
export interface StageCallErrorDetails {
  /** Whether the upstream did not accept the call or did not answer in time. */
  readonly isUnreachable: boolean;
  /** Whether this instance has no working path to the upstream, which may be sound. */
  readonly isPathLost: boolean;
  /** Whether this instance has no path to any upstream. */
  readonly hasOutage: boolean;
  /** Whether the connection broke during the call, as it does if the upstream crashes. */
  readonly isConnectionLost: boolean;
}

const NO_DETAILS: StageCallErrorDetails = {
  isUnreachable: false,
  isPathLost: false,
  hasOutage: false,
  isConnectionLost: false,
};

/** A call ended without a readable answer. */
export class StageCallError extends Error {
  readonly details: StageCallErrorDetails;

  constructor(message: string, details = NO_DETAILS) {
    super(message);
    this.name = 'StageCallError';
    this.details = details;
  }
}

/** Dependencies of StageCaller. */
export interface StageCallerParts {
  readonly protocol: StageProtocol;
  readonly clock: Clock;
  readonly connector: Connector;
  readonly memory: MemoryBudget;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
}

/** Sends calls and releases of results to upstreams. */
export class StageCaller {
  private readonly parts: StageCallerParts;
  private readonly controller = new AbortController();

  constructor(parts: StageCallerParts) {
    this.parts = parts;
  }

  /**
   * Sends a call with a batch of pieces to an upstream.
   *
   * @throws StageCallError if no answer could be read.
   */
  async runPieces(
    target: StageTarget,
    {timeoutMs, takePieces, signal}: StageCall,
  ): Promise<RunAnswer> {
    const {protocol, signals, clock} = this.parts;
    const {id, address} = target;
    const sentAtMs = clock.getNow();
    let pieces: readonly StagePiece[] = [];
    let isSendCancelled = false;
    const createRequest = () => {
      pieces = takePieces();
      isSendCancelled = pieces.length === 0;
      if (isSendCancelled) return undefined;
      return protocol.createRunRequest(id, address, pieces);
    };
    try {
      const {head, body} = await this.call(address, createRequest, {
        timeoutMs,
        signal: AbortSignal.any([this.controller.signal, signal]),
      });
      const answer = {
        status: head.statusCode ?? 0,
        headers: head.headers,
        body: body.toString('utf8'),
      };
      signals.recordAnswer({
        upstream: target,
        head: answer,
        requestId: pieces[0]?.requestId,
        sentAtMs,
      });
      return protocol.parseRunAnswer(answer, pieces.length);
    } catch (error) {
      // This instance cancelled the send, so the upstream is not at fault.
      if (isSendCancelled) return {type: 'not-run', isOtherUpstream: false};
      const message = error instanceof Error ? error.message : String(error);
      throw new StageCallError(message, {
        isUnreachable: isUnreachable(error),
        isPathLost: this.isPathLost(address, error),
        hasOutage: isPathError(error) && this.parts.connector.hasOutage(),
        isConnectionLost: isBrokenConnection(error),
      });
    }
  }

  /**
   * Releases results at an upstream; never rejects. After a failure the results occupy memory
   * until they expire.
   */
  async releaseResults(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const request = this.parts.protocol.createReleaseRequest(address, handles);
    await this.call(address, () => request, {
      timeoutMs: RELEASE_TIMEOUT_MS,
      signal: this.controller.signal,
    }).catch(() => {});
  }

  /** Closes the connections of all calls; later calls fail. */
  close(): void {
    this.controller.abort(new Error('stopped'));
  }

  // The path also explains a call that was lost or timed out, but not one that a peer saw
  // refused.
  private isPathLost(address: string, error: unknown): boolean {
    if (isPathError(error)) return true;
    const hadConnection =
      error instanceof TransportError &&
      (error.progress !== 'none' || error instanceof UnusedConnectionError);
    return hadConnection && this.parts.connector.isPathLost(address);
  }

  private call(
    address: string,
    createRequest: () => EncodedRequest | undefined,
    limits: Pick<WholeCallLimits, 'timeoutMs' | 'signal'>,
  ): Promise<WholeAnswer> {
    return callForWholeAnswer(
      {address, connectTimeoutMs: CONNECT_TIMEOUT_MS, createRequest},
      this.parts,
      {...limits, maxBytes: MAX_ANSWER_BYTES},
    );
  }
}

// A call that timed out was ended by this instance, not by the upstream.
function isBrokenConnection(error: unknown): boolean {
  if (error instanceof AnswerTimeoutError || isUnreachable(error)) return false;
  return isConnectionLost(error);
}

function isUnreachable(error: unknown): boolean {
  if (error instanceof AnswerTimeoutError) return true;
  if (error instanceof UnusedConnectionError) return false;
  return error instanceof TransportError && error.progress === 'none';
}
