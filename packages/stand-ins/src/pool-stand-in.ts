import {addAbortHandler} from '@hollowstack/cancellation';
import type {Clock} from '@hollowstack/clock';
import type {LoadReport} from '@hollowstack/types';
import {
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {z} from 'zod';
import {
  HandlerStandIn,
  createFailureResponse,
  createNotRunResponse,
  parseRequestJson,
} from './handler-stand-in.ts';
import {LaggingReport} from './lagging-report.ts';
import {
  computeDocuments,
  computeEmbedding,
  computeHash,
  computeRerankScore,
} from './model-text.ts';
import {SlotQueue, type SlotJob} from './slot-queue.ts';
import type {WorkRecord} from './work-log.ts';

/** Capacity and speed of an encoder, retriever or reranker. */
export interface PoolOptions {
  /** Requests that are processed concurrently. */
  readonly slots: number;
  /** Base milliseconds of a request. */
  readonly baseMs: number;
  /** Additional milliseconds per 1,000 bytes of the request body. */
  readonly perKilocharacterMs: number;
  /** Maximum relative deviation of a duration from its mean, 0 to 1. */
  readonly spread: number;
  /** Maximum age of load reports in milliseconds. */
  readonly reportLagMs: number;
}

const embeddingsSchema = z.object({input: z.array(z.string()).min(1)});
const retrieveSchema = z.object({
  embedding: z.array(z.number()),
  top: z.number(),
});
const rerankSchema = z.object({
  query: z.string(),
  documents: z.array(z.string()),
  top_n: z.number(),
});

/** A stand-in for an encoder, retriever or reranker. */
export class PoolStandIn extends HandlerStandIn {
  private readonly clock: Clock;
  private readonly options: PoolOptions;
  private readonly slots: SlotQueue;
  private readonly report: LaggingReport;

  constructor(clock: Clock, options: PoolOptions) {
    super();
    this.clock = clock;
    this.options = options;
    this.slots = new SlotQueue(clock, options.slots);
    this.report = new LaggingReport(clock, options.reportLagMs, () =>
      this.createReport(),
    );
  }

  protected async handleWork(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === '/load') {
      return createJsonResponse(200, this.report.getReport());
    }
    const {mode} = this.faults.getSetting();
    if (mode === 'leaving') return createNotRunResponse('leaving');
    const echo = this.createEchoHeaders(request);
    const record = this.workLog.startWork(
      request.headers['x-request-id'] ?? '',
      request.headers['x-attempt-id'] ?? '',
      request.path,
      this.clock.getNow(),
    );
    if (mode === 'failing') return createFailureResponse(echo);
    await this.runJob(request, record);
    const isCrossed = mode === 'crossed';
    return createJsonResponse(200, computeAnswer(request, isCrossed), echo);
  }

  private createReport(): LoadReport {
    return {
      running: this.slots.getRunningCount(),
      queued: this.slots.getQueuedCount(),
      workDone: Math.round(this.workLog.getTotalBusyMs()),
      state: this.faults.getSetting().mode === 'leaving' ? 'leaving' : 'live',
      atMs: this.clock.getNow(),
    };
  }

  private runJob(request: HttpRequest, record: WorkRecord): Promise<void> {
    const {mode} = this.faults.getSetting();
    const durationMs = this.computeDurationMs(request);
    return new Promise((resolve, reject) => {
      let job: SlotJob = {cancel: () => {}};
      const cancelJob = () => {
        record.outcome = 'cancelled';
        job.cancel();
        reject(request.signal.reason);
      };
      const removeAbortHandler = addAbortHandler(request.signal, cancelJob);
      if (mode === 'wedged') return;
      job = this.slots.addJob(
        Number(request.headers['x-priority'] ?? 5),
        durationMs,
        () => this.workLog.addBusyMs(record, durationMs),
        () => {
          removeAbortHandler();
          record.outcome = 'finished';
          resolve();
        },
      );
    });
  }

  private computeDurationMs(request: HttpRequest): number {
    const {baseMs, perKilocharacterMs, spread} = this.options;
    const meanMs = baseMs + (perKilocharacterMs * request.body.length) / 1000;
    // Derived from the attempt id, so that runs with the same seed are identical.
    const uniform =
      computeHash(request.headers['x-attempt-id'] ?? '') / 0x1_0000_0000;
    const {slowFactor} = this.faults.getSetting();
    return meanMs * (1 + spread * (2 * uniform - 1)) * slowFactor;
  }
}

// A crossed answer is the correct answer to a different request.
function computeAnswer(request: HttpRequest, isCrossed: boolean): unknown {
  const body = parseRequestJson(request);
  const crossedSuffix = isCrossed ? ' of another' : '';
  if (request.path === '/v1/embeddings') {
    const {input} = embeddingsSchema.parse(body);
    return {
      data: input.map((text, index) => ({
        index,
        embedding: computeEmbedding(text + crossedSuffix),
      })),
    };
  }
  if (request.path === '/v1/retrieve') {
    const {embedding, top} = retrieveSchema.parse(body);
    return {documents: computeDocuments(isCrossed ? [0] : embedding, top)};
  }
  const {query, documents, top_n: topCount} = rerankSchema.parse(body);
  const results = documents
    .map((text, index) => ({
      index,
      relevance_score: computeRerankScore(query + crossedSuffix, text),
    }))
    .sort((left, right) => right.relevance_score - left.relevance_score)
    .slice(0, topCount);
  return {results};
}
