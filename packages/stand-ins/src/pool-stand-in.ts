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

/** How fast an encoder, retriever or reranker works. */
export interface PoolOptions {
  /** Requests worked on at the same time. */
  readonly slots: number;
  /** Milliseconds for a request without input. */
  readonly baseMs: number;
  /** Milliseconds more for each 1,000 characters of input. */
  readonly perKilocharacterMs: number;
  /** Share by which durations differ from request to request, 0 to 1. */
  readonly spread: number;
  /** Milliseconds by which load reports lag. */
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

/** Stands in for an encoder, retriever or reranker. */
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
      request.signal.addEventListener('abort', cancelJob, {once: true});
      if (mode === 'wedged') return;
      job = this.slots.addJob(
        Number(request.headers['x-priority'] ?? 5),
        durationMs,
        () => this.workLog.addBusyMs(record, durationMs),
        () => {
          request.signal.removeEventListener('abort', cancelJob);
          record.outcome = 'finished';
          resolve();
        },
      );
    });
  }

  private computeDurationMs(request: HttpRequest): number {
    const {baseMs, perKilocharacterMs, spread} = this.options;
    const meanMs = baseMs + (perKilocharacterMs * request.body.length) / 1000;
    // The attempt's id decides the spread, so that each run of a seed is alike.
    const draw =
      computeHash(request.headers['x-attempt-id'] ?? '') / 0x1_0000_0000;
    const {slowFactor} = this.faults.getSetting();
    return meanMs * (1 + spread * (2 * draw - 1)) * slowFactor;
  }
}

// A crossed answer is the right one to another request.
function computeAnswer(request: HttpRequest, isCrossed: boolean): unknown {
  const body = parseRequestJson(request);
  const crossing = isCrossed ? ' of another' : '';
  if (request.path === '/v1/embeddings') {
    const {input} = embeddingsSchema.parse(body);
    return {
      data: input.map((text, index) => ({
        index,
        embedding: computeEmbedding(text + crossing),
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
      relevance_score: computeRerankScore(query + crossing, text),
    }))
    .sort((left, right) => right.relevance_score - left.relevance_score)
    .slice(0, topCount);
  return {results};
}
