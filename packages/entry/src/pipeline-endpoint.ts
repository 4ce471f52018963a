import type {Clock} from '@hollowstack/clock';
import type {DecisionLog} from '@hollowstack/decisions';
import {HollowstackError, createProblem} from '@hollowstack/errors';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {
  CollectingSink,
  ResultSink,
  type PipelineRequest,
  type PipelineResult,
  type PipelineRunner,
} from '@hollowstack/pipeline';
import {
  AsyncQueue,
  createJsonResponse,
  encodeServerSentEvent,
  type HttpResponse,
} from '@hollowstack/transport';
import {z} from 'zod';
import {Endpoint, type EndpointRequest} from './endpoint.ts';
import {readJsonBody} from './json-body.ts';
import {REQUEST_ID_HEADER} from './problem-response.ts';
import type {AdmittedRequest, RequestGate} from './request-gate.ts';
import {
  computeDeadlineMs,
  getDeadlineHeader,
  openRequestScope,
  applyRunStatus,
  type RequestScope,
} from './request-scope.ts';

/** Dependencies of the endpoint. */
export interface PipelineEndpointParts {
  readonly clock: Clock;
  readonly gate: RequestGate;
  readonly runner: PipelineRunner;
  readonly decisionLog: DecisionLog;
  readonly metrics: MetricsRegistry;
  /** Maximum nesting depth of a JSON body. */
  readonly jsonDepth: number;
}

const bodySchema = z.object({
  input: z.string().min(1),
  stream: z.boolean().default(false),
  /** Lowers the pipeline's own limit; a higher value has no effect. */
  maxTokens: z.number().int().positive().optional(),
});
type PipelineBody = z.infer<typeof bodySchema>;

/** Number of segments in `/v1/workspaces/W/pipelines/P`. */
const PIPELINE_SEGMENTS = 5;

/** Serves `POST /v1/workspaces/{workspace}/pipelines/{pipeline}`. */
export class PipelineEndpoint extends Endpoint {
  private readonly parts: PipelineEndpointParts;

  constructor(parts: PipelineEndpointParts) {
    super();
    this.parts = parts;
  }

  isFor({http, segments}: EndpointRequest): boolean {
    return (
      http.method === 'POST' &&
      segments.length === PIPELINE_SEGMENTS &&
      segments[0] === 'v1' &&
      segments[1] === 'workspaces' &&
      segments[3] === 'pipelines'
    );
  }

  async handle(request: EndpointRequest): Promise<HttpResponse> {
    const [, , workspaceName, , pipelineName] = request.segments;
    const body = readJsonBody(request.http, bodySchema, this.parts.jsonDepth);
    const admitted = await this.parts.gate.admitRequest(workspaceName);
    try {
      const run = this.openRun(request, admitted, pipelineName, body);
      return body.stream
        ? await this.answerStreaming(run)
        : await this.answerBuffered(run);
    } catch (error) {
      admitted.end();
      throw error;
    }
  }

  private openRun(
    request: EndpointRequest,
    admitted: AdmittedRequest,
    pipelineName: string,
    body: PipelineBody,
  ): PipelineRun {
    const {configuration, workspace} = admitted;
    const pipeline = workspace.pipelines[pipelineName];
    const template = pipeline && configuration.getTemplate(pipeline.template);
    if (!template) {
      throw new HollowstackError(
        'not-found',
        `no pipeline ${pipelineName} in workspace ${workspace.name}`,
      );
    }
    const {clock, decisionLog} = this.parts;
    const scope = openRequestScope(
      {
        requestId: request.requestId,
        workspace: workspace.name,
        target: pipelineName,
        priority: pipeline.priority,
        objective: workspace.objective,
        deadlineMs: computeDeadlineMs(
          request.arrivedAtMs,
          pipeline.deadlineMs,
          getDeadlineHeader(request.http.headers),
        ),
      },
      request.arrivedAtMs,
      clock,
      decisionLog,
      request.http.signal,
    );
    scope.context.recordDecision('admission', 'limits', 'admitted', [
      `revision ${configuration.revision}`,
    ]);
    const maxTokens = Math.min(
      pipeline.maxTokens,
      body.maxTokens ?? pipeline.maxTokens,
    );
    return {
      request,
      admitted,
      scope,
      work: {template, pipeline: {...pipeline, maxTokens}, input: body.input},
    };
  }

  private async answerBuffered(run: PipelineRun): Promise<HttpResponse> {
    const sink = new CollectingSink();
    const result = await this.run(run, sink);
    return createJsonResponse(200, createAnswer(run, result, sink.getText()), {
      [REQUEST_ID_HEADER]: run.request.requestId,
    });
  }

  // Waits for the first token before the head is sent, so that a refusal gets
  // its own HTTP status.
  private async answerStreaming(run: PipelineRun): Promise<HttpResponse> {
    const sink = new StreamSink();
    const running = this.run(run, sink).then(
      result => sink.finish(createAnswer(run, result, undefined)),
      (error: HollowstackError) => {
        if (!sink.hasBegun()) throw error;
        sink.fail(error, run.request.requestId);
      },
    );
    await Promise.race([sink.begun, running]);
    running.catch(() => {});
    return {
      status: 200,
      headers: {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        [REQUEST_ID_HEADER]: run.request.requestId,
      },
      body: sink.queue,
    };
  }

  private async run(
    run: PipelineRun,
    sink: ResultSink,
  ): Promise<PipelineResult> {
    const {scope, admitted, work} = run;
    const {context} = scope;
    try {
      const result = await this.parts.runner.runPipeline(work, context, sink);
      this.recordOutcome(run, 'answered');
      context.recordDecision('answer', 'whole', 'answered whole');
      return result;
    } catch (thrown) {
      const error = applyRunStatus(thrown, context, 'yes');
      this.recordOutcome(run, error.kind);
      throw error;
    } finally {
      scope.release();
      admitted.end();
    }
  }

  private recordOutcome(run: PipelineRun, outcome: string): void {
    const {clock, metrics} = this.parts;
    const {workspace, target, priority} = run.scope.context.identity;
    metrics.addToCounter('hollowstack_requests_total', {
      workspace,
      pipeline: target,
      outcome,
    });
    if (outcome !== 'answered') return;
    metrics.recordLatency(
      'hollowstack_request_seconds',
      {workspace, pipeline: target, class: String(priority)},
      clock.getNow() - run.request.arrivedAtMs,
    );
  }
}

interface PipelineRun {
  readonly request: EndpointRequest;
  readonly admitted: AdmittedRequest;
  readonly scope: RequestScope;
  readonly work: PipelineRequest;
}

function createAnswer(
  run: PipelineRun,
  result: PipelineResult,
  text: string | undefined,
): object {
  const {stages, ...output} = result;
  return {
    requestId: run.request.requestId,
    revision: run.admitted.configuration.revision,
    output: {...output, ...(text ? {text} : {})},
    stages,
  };
}

/** Sends tokens as server-sent events. */
class StreamSink extends ResultSink {
  readonly queue = new AsyncQueue<Uint8Array>();
  readonly begun: Promise<void>;
  private isBegun = false;
  private settleBegun: () => void = () => {};

  constructor() {
    super();
    this.begun = new Promise(resolve => (this.settleBegun = resolve));
  }

  hasBegun(): boolean {
    return this.isBegun;
  }

  pushTokens(tokens: readonly string[]): void {
    this.begin();
    const text = tokens
      .map(token => `event: token\ndata: ${JSON.stringify({text: token})}\n\n`)
      .join('');
    this.queue.push(Buffer.from(text));
  }

  /** Ends the stream with its end marker; a stream without it is incomplete. */
  finish(answer: object): void {
    this.begin();
    this.queue.push(encodeServerSentEvent(JSON.stringify(answer), 'done'));
    this.queue.end();
  }

  /** Ends the stream with the problem that interrupted it. */
  fail(error: HollowstackError, requestId: string): void {
    const problem = createProblem(error, requestId);
    this.queue.push(encodeServerSentEvent(JSON.stringify(problem), 'error'));
    this.queue.end();
  }

  private begin(): void {
    this.isBegun = true;
    this.settleBegun();
  }
}
