/** Upstream, attempts and durations of one completed stage. */
export interface StageTiming {
  readonly stage: string;
  readonly pool: string;
  /** Upstream that completed the stage. */
  readonly upstream: string;
  readonly attempts: number;
  /** Milliseconds that the stage waited for slots, over all attempts. */
  readonly waitedMs: number;
  /** Milliseconds from the start of the stage to its end, including the wait. */
  readonly durationMs: number;
}

/** A document that a retrieve stage returned. */
export interface Document {
  readonly id: string;
  readonly text: string;
}

/** Result of a pipeline, without generated text, which goes to the sink. */
export interface PipelineResult {
  /** Embedding; present if the last stage is encode. */
  readonly embedding?: readonly number[];
  /** Documents, the best first; present if the last stage is retrieve or rerank. */
  readonly documents?: readonly Document[];
  readonly stages: readonly StageTiming[];
}

/** Receives generated text as it arrives. */
export abstract class ResultSink {
  /** Receives the next tokens, in order. */
  abstract pushTokens(tokens: readonly string[]): void;
}

/** Collects generated text for an answer that is not streamed. */
export class CollectingSink extends ResultSink {
  private readonly parts: string[] = [];

  pushTokens(tokens: readonly string[]): void {
    this.parts.push(...tokens);
  }

  getText(): string {
    return this.parts.join('');
  }
}
