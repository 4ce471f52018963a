import type {Stage, WorkspacePipeline} from '@hollowstack/types';
import {
  readBody,
  readServerSentEvents,
  type HttpResponse,
} from '@hollowstack/transport';
import {match} from 'ts-pattern';
import {z} from 'zod';
import {AttemptError} from './attempt-error.ts';
import type {UpstreamCall} from './attempt.ts';
import type {Document, ResultSink} from './result.ts';
import {StageCall} from './stage-call.ts';

/** Data that the stages of a request pass to later ones. */
export interface StageState {
  readonly input: string;
  embedding?: readonly number[];
  documents?: readonly Document[];
}

/** HTTP status. */
const OK = 200;
/**
 * Characters of input assumed to take as long as one expected request; used
 * until durations have been measured.
 */
const CHARACTERS_PER_WORK_UNIT = 2000;
/** Number of generated tokens to which the `expectedMs` of a generate pool refers. */
export const TOKENS_PER_WORK_UNIT = 64;
const END_MARKER = '[DONE]';

const embeddingsSchema = z.object({
  data: z.array(z.object({embedding: z.array(z.number())})).min(1),
});
const documentsSchema = z.object({
  documents: z.array(z.object({id: z.string(), text: z.string()})),
});
const rerankSchema = z.object({
  results: z.array(z.object({index: z.number().int().nonnegative()})),
});
const chunkSchema = z.object({
  choices: z.array(z.object({text: z.string()})).min(1),
});

/** Creates the call of a stage by its kind. */
export function createStageCall(
  stage: Stage,
  pipeline: WorkspacePipeline,
  state: StageState,
  priority: number,
  sink: ResultSink,
): StageCall {
  return match(stage.kind)
    .with('encode', () => new EncodeCall(pipeline, state))
    .with('retrieve', () => new RetrieveCall(stage, state))
    .with('rerank', () => new RerankCall(stage, pipeline, state))
    .with('generate', () => new GenerateCall(pipeline, state, priority, sink))
    .exhaustive();
}

class EncodeCall extends StageCall {
  private readonly pipeline: WorkspacePipeline;
  private readonly state: StageState;

  constructor(pipeline: WorkspacePipeline, state: StageState) {
    super();
    this.pipeline = pipeline;
    this.state = state;
  }

  createCall(): UpstreamCall {
    const {model} = this.pipeline;
    return createJsonCall('/v1/embeddings', {model, input: [this.state.input]});
  }

  async readResponse(response: HttpResponse): Promise<void> {
    const answer = embeddingsSchema.parse(await readJsonResponse(response));
    this.state.embedding = answer.data[0].embedding;
  }

  getRemainingUnits(): number {
    return 1 + this.state.input.length / CHARACTERS_PER_WORK_UNIT;
  }
}

class RetrieveCall extends StageCall {
  private readonly stage: Stage;
  private readonly state: StageState;

  constructor(stage: Stage, state: StageState) {
    super();
    this.stage = stage;
    this.state = state;
  }

  createCall(): UpstreamCall {
    const {embedding} = this.state;
    return createJsonCall('/v1/retrieve', {embedding, top: this.stage.top});
  }

  async readResponse(response: HttpResponse): Promise<void> {
    const answer = documentsSchema.parse(await readJsonResponse(response));
    this.state.documents = answer.documents;
  }

  getRemainingUnits(): number {
    return 1;
  }
}

class RerankCall extends StageCall {
  private readonly stage: Stage;
  private readonly pipeline: WorkspacePipeline;
  private readonly state: StageState;

  constructor(stage: Stage, pipeline: WorkspacePipeline, state: StageState) {
    super();
    this.stage = stage;
    this.pipeline = pipeline;
    this.state = state;
  }

  createCall(): UpstreamCall {
    const documents = (this.state.documents ?? []).map(({text}) => text);
    return createJsonCall('/v1/rerank', {
      model: this.pipeline.model,
      query: this.state.input,
      documents,
      top_n: this.stage.top,
    });
  }

  async readResponse(response: HttpResponse): Promise<void> {
    const answer = rerankSchema.parse(await readJsonResponse(response));
    const documents = this.state.documents ?? [];
    const ranked = answer.results.map(({index}) => documents.at(index));
    this.state.documents = ranked.filter(document => document !== undefined);
  }

  getRemainingUnits(): number {
    return 1 + this.state.input.length / CHARACTERS_PER_WORK_UNIT;
  }
}

/**
 * Streams tokens to the sink. If a stream is cut off, the next attempt resumes
 * after the tokens that were received.
 */
class GenerateCall extends StageCall {
  private readonly pipeline: WorkspacePipeline;
  private readonly prompt: string;
  private readonly priority: number;
  private readonly sink: ResultSink;
  private readonly received: string[] = [];

  constructor(
    pipeline: WorkspacePipeline,
    state: StageState,
    priority: number,
    sink: ResultSink,
  ) {
    super();
    this.pipeline = pipeline;
    this.prompt = createPrompt(state);
    this.priority = priority;
    this.sink = sink;
  }

  createCall(): UpstreamCall {
    return createJsonCall('/v1/completions', {
      model: this.pipeline.adapter ?? this.pipeline.model,
      prompt: this.prompt + this.received.join(''),
      max_tokens: this.countRemainingTokens(),
      stream: true,
      priority: this.priority,
    });
  }

  async readResponse(response: HttpResponse): Promise<void> {
    if (response.status !== OK) throw await createStatusError(response);
    for await (const batch of readServerSentEvents(response.body)) {
      if (this.addBatch(batch)) return;
    }
    throw new AttemptError('broken', 'the stream ended without its end marker');
  }

  getRemainingUnits(): number {
    return this.countRemainingTokens() / TOKENS_PER_WORK_UNIT;
  }

  override getModel(): string {
    return this.pipeline.adapter ?? this.pipeline.model;
  }

  override getPrompt(): string {
    return this.prompt;
  }

  // An engine may return fewer tokens than requested. A resumed call always
  // requests at least one: a stream that was cut off between its last token and
  // its end marker already has all its tokens.
  private countRemainingTokens(): number {
    return Math.max(1, this.pipeline.maxTokens - this.received.length);
  }

  // Returns whether the end marker has arrived. Drops tokens beyond the limit:
  // after a stream was cut off between its last token and its end marker, the
  // resumed call returns tokens that the caller does not need.
  private addBatch(batch: readonly string[]): boolean {
    const tokens: string[] = [];
    let isEnd = false;
    for (const data of batch) {
      isEnd ||= data === END_MARKER;
      if (isEnd) break;
      const chunk = chunkSchema.parse(JSON.parse(data));
      const isOverLimit =
        this.received.length + tokens.length >= this.pipeline.maxTokens;
      if (!isOverLimit) tokens.push(chunk.choices[0].text);
    }
    this.received.push(...tokens);
    if (tokens.length > 0) this.sink.pushTokens(tokens);
    return isEnd;
  }
}

function createPrompt(state: StageState): string {
  const documents = (state.documents ?? []).map(({text}) => text);
  if (documents.length === 0) return state.input;
  return `${documents.join('\n')}\n\n${state.input}`;
}

function createJsonCall(path: string, value: unknown): UpstreamCall {
  return {
    method: 'POST',
    path,
    headers: {'content-type': 'application/json'},
    body: Buffer.from(JSON.stringify(value)),
  };
}

async function readJsonResponse(response: HttpResponse): Promise<unknown> {
  if (response.status !== OK) throw await createStatusError(response);
  const body = await readBody(response.body);
  return JSON.parse(body.toString('utf8'));
}

/** Characters of a failed response's body that the error message shows. */
const MAX_ERROR_BODY_CHARACTERS = 200;

async function createStatusError(
  response: HttpResponse,
): Promise<AttemptError> {
  const body = await readBody(response.body);
  const text = body.toString('utf8').slice(0, MAX_ERROR_BODY_CHARACTERS);
  return new AttemptError('broken', `status ${response.status}: ${text}`);
}
