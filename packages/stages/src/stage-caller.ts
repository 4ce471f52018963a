import type {Clock} from '@hollowstack/clock';
import {
  LateAnswerError,
  TransportError,
  callForWholeAnswer,
  type WholeAnswer,
} from '@hollowstack/transport';
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
  readonly address: string;
}

/** Why a call brought no readable answer. */
export class StageCallError extends Error {
  /** Whether the upstream proved that it does not take calls. */
  readonly isUnreachable: boolean;

  constructor(message: string, isUnreachable: boolean) {
    super(message);
    this.name = 'StageCallError';
    this.isUnreachable = isUnreachable;
  }
}

/** Calls upstreams for pieces, and gives results back. */
export class StageCaller {
  private readonly protocol: StageProtocol;
  private readonly clock: Clock;
  private readonly controller = new AbortController();

  constructor(protocol: StageProtocol, clock: Clock) {
    this.protocol = protocol;
    this.clock = clock;
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
    const {id, address} = target;
    const request = this.protocol.createRunRequest(id, address, pieces);
    try {
      const {head, body} = await this.call(
        address,
        request,
        timeoutMs,
        mayStillSend,
      );
      const answer = {
        status: head.statusCode ?? 0,
        headers: head.headers,
        body: body.toString('utf8'),
      };
      return this.protocol.parseRunAnswer(answer, pieces.length);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      throw new StageCallError(message, isUnreachable(error));
    }
  }

  /** Tells an upstream that results are no longer needed; a failure only costs room. */
  async releaseResults(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const request = this.protocol.createReleaseRequest(address, handles);
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
      this.clock,
      {
        timeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
        signal: this.controller.signal,
      },
    );
  }
}

function isUnreachable(error: unknown): boolean {
  if (error instanceof LateAnswerError) return true;
  return error instanceof TransportError && error.progress === 'none';
}
