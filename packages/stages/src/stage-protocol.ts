/** One piece as it is asked of an upstream. */
export interface StagePiece {
  readonly requestId: string;
  /** Index of the stage in its route. */
  readonly stage: number;
  /** Index of the piece in its stage. */
  readonly piece: number;
  readonly remainingMs: number;
  /** What a piece without inputs is made from. */
  readonly key: string | undefined;
  /** Handles of the results that the piece reads. */
  readonly inputs: readonly string[];
}

/** Why an upstream did not make a piece. */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'failed';

/** What became of one piece. */
export type PieceOutcome =
  | {readonly type: 'made'; readonly handle: string; readonly address: string}
  | {readonly type: 'failed'; readonly failure: PieceFailure};

/** What a call for pieces brought. */
export type RunAnswer =
  | {readonly type: 'outcomes'; readonly outcomes: readonly PieceOutcome[]}
  /** The upstream promises that it has not begun. */
  | {readonly type: 'not-run'; readonly isOtherUpstream: boolean}
  | {readonly type: 'unreadable'; readonly message: string};

/** A request to an upstream, encoded. */
export interface EncodedRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Absent where the request has no body. */
  readonly body: Buffer | undefined;
}

/** The head and body of an upstream's answer. */
export interface EncodedAnswer {
  readonly status: number;
  /** Names in small letters. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** How upstreams are asked for pieces; an adapter gives names and formats. */
export abstract class StageProtocol {
  /** Encodes a call for pieces. */
  abstract createRunRequest(
    upstreamId: string,
    address: string,
    pieces: readonly StagePiece[],
  ): EncodedRequest;

  /** Reads the answer to a call for `count` pieces. */
  abstract parseRunAnswer(answer: EncodedAnswer, count: number): RunAnswer;

  /** Encodes that results are no longer needed. */
  abstract createReleaseRequest(
    address: string,
    handles: readonly string[],
  ): EncodedRequest;
}
