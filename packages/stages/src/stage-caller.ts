import type {Clock} from '@hollowstack/clock';
import {
  SingleCall,
  TransportError,
  readWholeBody,
} from '@hollowstack/transport';
import type {IncomingMessage} from 'node:http';
import type {
  EncodedRequest,
  StagePiece,
  StageProtocol,
} from './stage-protocol.ts';
import type {RunAnswer} from './stage-protocol.ts';

const CONNECT_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 1024 * 1024;
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

  constructor(protocol: StageProtocol, clock: Clock) {
    this.protocol = protocol;
    this.clock = clock;
  }

  /**
   * Asks an upstream for pieces.
   *
   * @param timeoutMs Milliseconds for the whole answer.
   * @throws StageCallError where no readable answer came.
   */
  async runPieces(
    target: StageTarget,
    pieces: readonly StagePiece[],
    timeoutMs: number,
  ): Promise<RunAnswer> {
    const request = this.protocol.createRunRequest(
      target.id,
      target.address,
      pieces,
    );
    const {head, body} = await this.call(target.address, request, timeoutMs);
    const answer = this.protocol.parseRunAnswer(
      {
        status: head.statusCode ?? 0,
        headers: head.headers,
        body: body.toString('utf8'),
      },
      pieces.length,
    );
    return answer;
  }

  /** Tells an upstream that results are no longer needed; a failure only costs room. */
  async releaseResults(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const request = this.protocol.createReleaseRequest(address, handles);
    await this.call(address, request, RELEASE_TIMEOUT_MS).catch(() => {});
  }

  private async call(
    address: string,
    request: EncodedRequest,
    timeoutMs: number,
  ): Promise<{head: IncomingMessage; body: Buffer}> {
    const call = new SingleCall(
      {...request, address, connectTimeoutMs: CONNECT_TIMEOUT_MS},
      this.clock,
    );
    let isLate = false;
    const timer = this.clock.schedule(timeoutMs, () => {
      isLate = true;
      call.abort('no answer in time');
    });
    try {
      const head = await call.response;
      const body = await readWholeBody(head, MAX_ANSWER_BYTES);
      return {head, body};
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const isUnsent =
        error instanceof TransportError && error.progress === 'none';
      throw new StageCallError(message, isUnsent || isLate);
    } finally {
      timer.cancel();
      call.abort('done');
    }
  }
}
