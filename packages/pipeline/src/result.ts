/** How one stage went. */
export interface StageTiming {
  readonly stage: string;
  readonly pool: string;
  /** The upstream that finished it. */
  readonly upstream: string;
  readonly attempts: number;
  /** Milliseconds of waiting for a place. */
  readonly waitedMs: number;
  /** Milliseconds from the stage's begin to its end, waiting included. */
  readonly durationMs: number;
}

/** A document that a pipeline found. */
export interface Document {
  readonly id: string;
  readonly text: string;
}

/** What a pipeline without a generate stage answers; with one, its text streams. */
export interface PipelineResult {
  /** Vector of the encode stage, where it came last. */
  readonly embedding?: readonly number[];
  /** Documents, the best first, where retrieve or rerank came last. */
  readonly documents?: readonly Document[];
  readonly stages: readonly StageTiming[];
}

/** Takes generated text as it comes. */
export abstract class ResultSink {
  /** Takes the next tokens; they are whole and in order. */
  abstract pushTokens(tokens: readonly string[]): void;
}

/** Collects generated text for an answer that is sent whole. */
export class CollectingSink extends ResultSink {
  private readonly parts: string[] = [];

  pushTokens(tokens: readonly string[]): void {
    this.parts.push(...tokens);
  }

  getText(): string {
    return this.parts.join('');
  }
}
