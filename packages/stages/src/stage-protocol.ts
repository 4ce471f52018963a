/** One independent work item of a stage, as sent to an upstream in a batch. */
export interface StagePiece {
  readonly requestId: string;
  /** Index of the stage in its route. */
  readonly stage: number;
  /** Index of the piece in its stage. */
  readonly piece: number;
  /** Milliseconds until the request is given up. */
  readonly remainingMs: number;
  /** Key of the source data of a piece without inputs. */
  readonly key: string | undefined;
  /** Handles of the results that the piece reads. */
  readonly inputs: readonly string[];
}

/** Why an upstream did not produce the result of a piece. */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'failed';

/** The outcome of one piece. */
export type PieceOutcome =
  | {readonly type: 'made'; readonly handle: string; readonly address: string}
  | {readonly type: 'failed'; readonly failure: PieceFailure};

/** The parsed answer to a call. */
export type RunAnswer =
  | {readonly type: 'outcomes'; readonly outcomes: readonly PieceOutcome[]}
  /**
   * The upstream guarantees that it has not started the work; `isOtherUpstream` is set if
   * the answer came from another upstream than the one addressed.
   */
  | {readonly type: 'not-run'; readonly isOtherUpstream: boolean}
  | {readonly type: 'unreadable'; readonly message: string};

/** An encoded request to an upstream. */
export interface EncodedRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Undefined if the request has no body. */
  readonly body: Buffer | undefined;
}

/** The head and body of an upstream's answer. */
export interface EncodedAnswer {
  readonly status: number;
  /** Keyed by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** The wire format of stage calls; each platform adapter implements it. */
export abstract class StageProtocol {
  /** Encodes a call that runs a batch of pieces. */
  abstract createRunRequest(
    upstreamId: string,
    address: string,
    pieces: readonly StagePiece[],
  ): EncodedRequest;

  /** Parses the answer to a call with `count` pieces. */
  abstract parseRunAnswer(answer: EncodedAnswer, count: number): RunAnswer;

  /** Encodes a request to release results. */
  abstract createReleaseRequest(
    address: string,
    handles: readonly string[],
  ): EncodedRequest;
}
