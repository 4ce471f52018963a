import type {Clock} from '@hollowstack/clock';
import {
  AnswerTimeoutError,
  TransportError,
  callForWholeAnswer,
  isConnectionLost,
  type WholeAnswer,
} from '@hollowstack/transport';
import type {UpstreamSignals} from '@hollowstack/upstream-signals';
import type {
  EncodedRequest,
  RunAnswer,
  StagePiece,
  StageProtocol,
} from './stage-protocol.ts';

/**
 * Milliseconds for a connection to stand; some hundred round trips within a
 * region.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Bytes of an answer, at most; names of results take some tens of bytes
 * each.
 */
const MAX_ANSWER_BYTES = 1024 * 1024;
/** Milliseconds for a release to be answered; nobody waits for it. */
const RELEASE_TIMEOUT_MS = 1000;

/** Which upstream a call goes to. */
export interface StageTarget {
  readonly id: string;
  readonly service: string;
  readonly address: string;
}

/** What a failed call shows of its upstream. */
export interface StageCallErrorDetails {
  /** Whether the upstream proved that it does not take calls. */
  readonly isUnreachable: boolean;
  /** Whether the connection ended under the call, as it does where the upstream crashes. */
  readonly isConnectionLost: boolean;
}

const NO_SIGNS: StageCallErrorDetails = {
  isUnreachable: false,
  isConnectionLost: false,
};

/** Why a call brought no readable answer. */
export class StageCallError extends Error {
  readonly details: StageCallErrorDetails;

  constructor(message: string, signs = NO_SIGNS) {
    super(message);
    this.name = 'StageCallError';
    this.details = signs;
  }
}

/** Dependencies of StageCaller. */
export interface StageCallerParts {
  readonly protocol: StageProtocol;
  readonly clock: Clock;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
}

/** Calls upstreams for pieces, and gives results back. */
export class StageCaller {
  private readonly parts: StageCallerParts;
  private readonly controller = new AbortController();

  constructor(parts: StageCallerParts) {
    this.parts = parts;
  }

  /**
   * Asks an upstream for pieces.
   *
   * @param mayStillSend Asked before the first byte leaves.
   * @param timeoutMs Milliseconds for the whole answer.
   * @throws StageCallError where no readable answer came.
   */
  async runPieces(
    target: StageTarget,
    pieces: readonly StagePiece[],
    timeoutMs: number,
    mayStillSend: () => boolean,
  ): Promise<RunAnswer> {
    const {protocol, signals, clock} = this.parts;
    const {id, address} = target;
    const sentAtMs = clock.getNow();
    let isWithdrawn = false;
    const request = protocol.createRunRequest(id, address, pieces);
    try {
      const {head, body} = await this.call(address, request, timeoutMs, () => {
        isWithdrawn = !mayStillSend();
        return !isWithdrawn;
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
      // Kept back by this side, which says nothing against the upstream.
      if (isWithdrawn) return {type: 'not-run', isOtherUpstream: false};
      const message = error instanceof Error ? error.message : String(error);
      throw new StageCallError(message, {
        isUnreachable: isUnreachable(error),
        isConnectionLost: isLost(error),
      });
    }
  }

  /** Tells an upstream that results are no longer needed; a failure only costs room. */
  async releaseResults(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const request = this.parts.protocol.createReleaseRequest(address, handles);
    await this.call(address, request, RELEASE_TIMEOUT_MS).catch(() => {});
  }

  /** Closes the connections of all calls, and makes no more. */
  close(): void {
    this.controller.abort(new Error('stopped'));
  }

  private call(
    address: string,
    request: EncodedRequest,
    timeoutMs: number,
    mayStillSend?: () => boolean,
  ): Promise<WholeAnswer> {
    return callForWholeAnswer(
      {
        ...request,
        address,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        mayStillSend,
      },
      this.parts.clock,
      {
        timeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
        signal: this.controller.signal,
      },
    );
  }
}

// A call that ran out of its time was ended by this side.
function isLost(error: unknown): boolean {
  if (error instanceof AnswerTimeoutError || isUnreachable(error)) return false;
  return isConnectionLost(error);
}

function isUnreachable(error: unknown): boolean {
  if (error instanceof AnswerTimeoutError) return true;
  return error instanceof TransportError && error.progress === 'none';
}
