import {addAbortHandler} from '@hollowstack/cancellation';
import type {Clock} from '@hollowstack/clock';
import type {LoadReport} from '@hollowstack/types';
import {
  AsyncQueue,
  TransportError,
  createJsonResponse,
  encodeServerSentEvent,
  readBody,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {z} from 'zod';
import {Batch, type BatchOptions} from './batch.ts';
import {
  HandlerStandIn,
  createFailureResponse,
  createNotRunResponse,
  parseRequestJson,
} from './handler-stand-in.ts';
import {LaggingReport} from './lagging-report.ts';
import {ModelInventory, orderSchema} from './model-inventory.ts';
import {PrefixCache} from './prefix-cache.ts';
import type {WorkRecord} from './work-log.ts';

/** Models, capacity and speed of an engine. */
export interface EngineOptions extends BatchOptions {
  /** Milliseconds of prefill per 1,000 prompt characters that are not cached. */
  readonly prefillPerKilocharacterMs: number;
  readonly cacheBlocks: number;
  /** Maximum age of load reports in milliseconds. */
  readonly reportLagMs: number;
  readonly models: readonly string[];
  /** Whether orders with a fence below the highest one seen are rejected. */
  readonly checksFence: boolean;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly loseCacheEventEvery: number;
  /** Milliseconds that an engine takes to load a model. */
  readonly loadMs: number;
}

const completionSchema = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  stream: z.boolean().default(false),
  priority: z.number().default(5),
});
type CompletionRequest = z.infer<typeof completionSchema>;

const prefixesSchema = z.object({prefixes: z.array(z.string())});

const CUT_AFTER_TOKENS = 3;

/** A stand-in for a model engine. */
export class EngineStandIn extends HandlerStandIn {
  readonly modelInventory: ModelInventory;
  private readonly clock: Clock;
  private readonly options: EngineOptions;
  private readonly batch: Batch;
  private readonly cache: PrefixCache;
  private readonly report: LaggingReport;

  constructor(clock: Clock, options: EngineOptions) {
    super();
    this.clock = clock;
    this.options = options;
    this.batch = new Batch(
      clock,
      options,
      () => this.faults.getSetting().slowFactor,
    );
    this.cache = new PrefixCache(options.cacheBlocks);
    this.modelInventory = new ModelInventory(clock, options);
    this.report = new LaggingReport(clock, options.reportLagMs, () =>
      this.createReport(),
    );
  }

  /** Empties the prefix cache, as a restart does. */
  removeCache(): void {
    this.cache.removeAll();
  }

  protected async handleWork(request: HttpRequest): Promise<HttpResponse> {
    const [path, query = ''] = request.path.split('?');
    switch (path) {
      case '/load':
        return createJsonResponse(200, this.report.getReport());
      case '/cache-events':
        return this.handleCacheEvents(new URLSearchParams(query));
      case '/orders':
        return this.handleOrder(request);
      case '/kv/export':
        return createJsonResponse(200, {prefixes: this.cache.listPrefixes()});
      case '/kv/import':
        return this.handleImport(request);
      case '/v1/completions':
        return this.handleCompletion(request);
      default:
        return createJsonResponse(404, {error: {message: 'no such call'}});
    }
  }

  private createReport(): LoadReport {
    return {
      running: this.batch.getRunningCount(),
      queued: this.batch.getQueuedCount(),
      workDone: Math.round(this.workLog.getTotalBusyMs()),
      tokensPerSecond: this.batch.getTokensPerSecond(),
      state: this.faults.getSetting().mode === 'leaving' ? 'leaving' : 'live',
      models: this.modelInventory.listModels(),
      atMs: this.clock.getNow(),
    };
  }

  private handleCacheEvents(query: URLSearchParams): HttpResponse {
    const every = this.options.loseCacheEventEvery;
    const events = this.cache
      .listEventsAfter(Number(query.get('after') ?? 0))
      .filter(event => every === 0 || event.sequence % every !== 0);
    return createJsonResponse(200, {events});
  }

  private handleOrder(request: HttpRequest): HttpResponse {
    const order = orderSchema.parse(parseRequestJson(request));
    const verdict = this.modelInventory.applyOrder(order);
    return createJsonResponse(verdict === 'stale-fence' ? 409 : 200, {verdict});
  }

  // A cache block is identified by its prefix: an export lists the prefixes, and an import
  // adds them to the cache, so that a later prompt with such a prefix hits it.
  private handleImport(request: HttpRequest): HttpResponse {
    const {prefixes} = prefixesSchema.parse(parseRequestJson(request));
    prefixes.forEach(prefix => this.cache.addPrompt(prefix));
    return createJsonResponse(200, {imported: prefixes.length});
  }

  private async handleCompletion(request: HttpRequest): Promise<HttpResponse> {
    const {mode} = this.faults.getSetting();
    if (mode === 'leaving') return createNotRunResponse('leaving');
    const completion = completionSchema.parse(parseRequestJson(request));
    if (!this.modelInventory.hasModel(completion.model)) {
      return createNotRunResponse(`model ${completion.model} is not loaded`);
    }
    const echo = this.createEchoHeaders(request);
    const record = this.workLog.startWork(
      request.headers['x-request-id'] ?? '',
      request.headers['x-attempt-id'] ?? '',
      completion.prompt,
      this.clock.getNow(),
    );
    if (mode === 'failing') return createFailureResponse(echo);
    const body = this.startSequence(request, completion, record);
    if (completion.stream) {
      const headers = {'content-type': 'text/event-stream', ...echo};
      return {status: 200, headers, body};
    }
    return createCompleteResponse(body, echo);
  }

  private startSequence(
    request: HttpRequest,
    completion: CompletionRequest,
    record: WorkRecord,
  ): AsyncQueue<Uint8Array> {
    let removeSequence = () => {};
    const cancelSequence = () => {
      if (record.outcome === 'running') record.outcome = 'cancelled';
      removeSequence();
    };
    const queue = new AsyncQueue<Uint8Array>(cancelSequence);
    addAbortHandler(request.signal, cancelSequence);
    const {mode} = this.faults.getSetting();
    if (mode === 'wedged') return queue;
    let sent = 0;
    removeSequence = this.batch.addSequence({
      model: completion.model,
      prompt: completion.prompt + (mode === 'crossed' ? ' of another' : ''),
      maxTokens: completion.max_tokens,
      priority: completion.priority,
      prefillMs: this.computePrefillMs(completion.prompt),
      handleBusyTime: busyMs => this.workLog.addBusyMs(record, busyMs),
      handleToken: token => {
        sent += 1;
        if (this.isCutDue(sent)) {
          cancelSequence();
          this.finishEarly(queue);
          return;
        }
        queue.push(encodeToken(token));
      },
      handleEnd: () => {
        record.outcome = 'finished';
        request.signal.removeEventListener('abort', cancelSequence);
        queue.push(encodeServerSentEvent('[DONE]'));
        queue.end();
      },
    });
    return queue;
  }

  private isCutDue(sentTokens: number): boolean {
    const {mode} = this.faults.getSetting();
    const isCutMode = mode === 'cutting' || mode === 'truncating';
    return isCutMode && sentTokens > CUT_AFTER_TOKENS;
  }

  private finishEarly(queue: AsyncQueue<Uint8Array>): void {
    if (this.faults.getSetting().mode === 'truncating') queue.end();
    else queue.fail(new TransportError('stand-in cut', 'some'));
  }

  private computePrefillMs(prompt: string): number {
    const cached = this.cache.addPrompt(prompt);
    const uncached = prompt.length - cached;
    return (uncached / 1000) * this.options.prefillPerKilocharacterMs;
  }
}

function encodeToken(token: string): Buffer {
  const chunk = {choices: [{index: 0, text: token, finish_reason: null}]};
  return encodeServerSentEvent(JSON.stringify(chunk));
}

const chunkSchema = z.object({choices: z.array(z.object({text: z.string()}))});

async function createCompleteResponse(
  body: AsyncIterable<Uint8Array>,
  echo: Record<string, string>,
): Promise<HttpResponse> {
  const events = (await readBody(body)).toString('utf8');
  const text = events
    .split('\n\n')
    .map(event => event.replace('data: ', ''))
    .filter(data => data.startsWith('{'))
    .map(data => chunkSchema.parse(JSON.parse(data)).choices[0].text)
    .join('');
  const choices = [{index: 0, text, finish_reason: 'length'}];
  return createJsonResponse(200, {choices}, echo);
}
