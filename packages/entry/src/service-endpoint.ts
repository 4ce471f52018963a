import {createHash} from 'node:crypto';
import {rejectOnAbort} from '@hollowstack/cancellation';
import {createClaimKey, type ClaimedCalls} from '@hollowstack/claims';
import type {Clock} from '@hollowstack/clock';
import type {DecisionLog} from '@hollowstack/decisions';
import {HollowstackError} from '@hollowstack/errors';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {
  RequestContext,
  ServiceAnswer,
  ServiceCallRequest,
  ServiceRunner,
} from '@hollowstack/pipeline';
import type {
  CallOutcome,
  StoredAnswer,
  Service,
  ServiceOperation,
} from '@hollowstack/types';
import type {HttpResponse} from '@hollowstack/transport';
import {Endpoint, type EndpointRequest} from './endpoint.ts';
import {REQUEST_ID_HEADER} from './problem-response.ts';
import type {AdmittedRequest, RequestGate} from './request-gate.ts';
import {
  computeDeadlineMs,
  getDeadlineHeader,
  openRequestScope,
  applyRunStatus,
} from './request-scope.ts';

/** Dependencies of the endpoint. */
export interface ServiceEndpointParts {
  readonly clock: Clock;
  readonly instanceId: string;
  readonly gate: RequestGate;
  readonly runner: ServiceRunner;
  readonly claimedCalls: ClaimedCalls;
  readonly decisionLog: DecisionLog;
  readonly metrics: MetricsRegistry;
}

/** Number of segments in `/v1/workspaces/W/services/S`, which precede the service's own path. */
const FIXED_SEGMENTS = 5;
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/**
 * Maximum size in bytes of an answer's base64 body that is stored for resends;
 * a value of the store holds up to 1 MB.
 */
const MAX_STORED_BYTES = 256 * 1024;
/** Priority of calls to plain services, whose settings have no priority. */
const SERVICE_PRIORITY = 1;

/** Serves `/v1/workspaces/{workspace}/services/{service}/...`. */
export class ServiceEndpoint extends Endpoint {
  private readonly parts: ServiceEndpointParts;

  constructor(parts: ServiceEndpointParts) {
    super();
    this.parts = parts;
  }

  isFor({segments}: EndpointRequest): boolean {
    return (
      segments.length >= FIXED_SEGMENTS &&
      segments[0] === 'v1' &&
      segments[1] === 'workspaces' &&
      segments[3] === 'services'
    );
  }

  async handle(request: EndpointRequest): Promise<HttpResponse> {
    const admitted = await this.parts.gate.admitRequest(request.segments[2]);
    try {
      const service = findService(admitted, request.segments[4]);
      return await this.runService(request, admitted, service);
    } finally {
      admitted.end();
    }
  }

  private async runService(
    request: EndpointRequest,
    admitted: AdmittedRequest,
    service: Service,
  ): Promise<HttpResponse> {
    const {clock, decisionLog} = this.parts;
    const call = createServiceCall(request, service);
    const {workspace} = admitted;
    const scope = openRequestScope(
      {
        requestId: request.requestId,
        workspace: workspace.name,
        target: service.name,
        priority: SERVICE_PRIORITY,
        objective: workspace.objective,
        deadlineMs: computeDeadlineMs(
          request.arrivedAtMs,
          service.deadlineMs,
          getDeadlineHeader(request.http.headers),
        ),
      },
      request.arrivedAtMs,
      clock,
      decisionLog,
      // A call that must not be repeated continues if its caller disconnects: it
      // may have run, and only its answer shows the outcome.
      call.isRepeatable ? request.http.signal : undefined,
    );
    try {
      const response = await this.runCall(request, call, scope.context);
      this.recordOutcome(scope.context, request, 'answered');
      return response;
    } catch (thrown) {
      const error = applyServiceRunStatus(thrown, scope.context, call);
      this.recordOutcome(scope.context, request, error.kind);
      throw error;
    } finally {
      scope.release();
    }
  }

  private async runCall(
    request: EndpointRequest,
    call: ServiceCallRequest,
    context: RequestContext,
  ): Promise<HttpResponse> {
    const key = request.http.headers[IDEMPOTENCY_KEY_HEADER];
    if (call.isRepeatable || key === undefined) {
      const answer = await this.parts.runner.runCall(call, context);
      return createServiceResponse(request, toStoredAnswer(answer));
    }
    return this.runClaimed(request, call, key, context);
  }

  private async runClaimed(
    request: EndpointRequest,
    call: ServiceCallRequest,
    key: string,
    context: RequestContext,
  ): Promise<HttpResponse> {
    const {workspace, target, deadlineMs} = context.identity;
    const identity = {
      key: createClaimKey(workspace, target, key),
      requestId: request.requestId,
      instance: this.parts.instanceId,
      fingerprint: computeFingerprint(call),
    };
    let failure: unknown;
    const running = this.parts.claimedCalls.runOnce(
      identity,
      deadlineMs,
      async (): Promise<CallOutcome> => {
        try {
          const done = await this.parts.runner.runCall(call, context);
          return {
            type: 'finished',
            answer: applySizeLimit(toStoredAnswer(done)),
          };
        } catch (error) {
          failure = error;
          return {type: context.mayHaveRun() ? 'unknown' : 'not-run'};
        }
      },
    );
    // The store may answer late. The caller still gets an error at its deadline,
    // and nothing is sent to the service after it.
    const answer = await rejectOnAbort(running, context.signal);
    if (failure !== undefined) throw failure;
    if (answer?.body === undefined) {
      throw new HollowstackError('answer-not-kept', 'the call ran before');
    }
    return createServiceResponse(request, answer);
  }

  private recordOutcome(
    context: RequestContext,
    request: EndpointRequest,
    outcome: string,
  ): void {
    const {clock, metrics} = this.parts;
    const {workspace, target} = context.identity;
    metrics.addToCounter('hollowstack_requests_total', {
      workspace,
      pipeline: target,
      outcome,
    });
    metrics.recordLatency(
      'hollowstack_request_seconds',
      {workspace, pipeline: target, class: String(SERVICE_PRIORITY)},
      clock.getNow() - request.arrivedAtMs,
    );
  }
}

function findService(admitted: AdmittedRequest, name: string): Service {
  const {configuration, workspace} = admitted;
  const service = configuration.getService(name);
  if (service && workspace.services.includes(name)) return service;
  throw new HollowstackError(
    'not-found',
    `no service ${name} in workspace ${workspace.name}`,
  );
}

function createServiceCall(
  request: EndpointRequest,
  service: Service,
): ServiceCallRequest {
  const {http, segments} = request;
  const serviceSegments = segments
    .slice(FIXED_SEGMENTS)
    .map(encodeURIComponent);
  const query = http.path.includes('?')
    ? http.path.slice(http.path.indexOf('?'))
    : '';
  const pathname = '/' + serviceSegments.join('/');
  const operation = service.operations.find(candidate =>
    isOperationFor(candidate, http.method, pathname),
  );
  return {
    service: service.name,
    // A call that matches no operation is not repeatable, since a wrong guess
    // would run it twice.
    isRepeatable: operation?.repeatable ?? false,
    call: {
      method: http.method,
      path: pathname + query,
      headers: {
        'content-type': http.headers['content-type'] ?? 'application/json',
      },
      body: http.body,
    },
  };
}

function isOperationFor(
  operation: ServiceOperation,
  method: string,
  pathname: string,
): boolean {
  if (operation.method !== method) return false;
  if (!operation.path.endsWith('*')) return operation.path === pathname;
  return pathname.startsWith(operation.path.slice(0, -1));
}

function computeFingerprint({call, service}: ServiceCallRequest): string {
  return createHash('sha256')
    .update(`${service} ${call.method} ${call.path}\n`)
    .update(call.body)
    .digest('hex');
}

// If a call that must not be repeated may have begun but its answer is missing,
// nothing shows whether it ran: `ran` is `unknown`, never `yes`.
function applyServiceRunStatus(
  thrown: unknown,
  context: RequestContext,
  call: ServiceCallRequest,
): HollowstackError {
  const isAboutEarlierCall =
    thrown instanceof HollowstackError &&
    (thrown.kind === 'outcome-unknown' || thrown.kind === 'answer-not-kept');
  if (isAboutEarlierCall) return thrown;
  return applyRunStatus(thrown, context, call.isRepeatable ? 'yes' : 'unknown');
}

function toStoredAnswer(answer: ServiceAnswer): StoredAnswer {
  return {
    status: answer.status,
    contentType: answer.headers['content-type'] ?? 'application/octet-stream',
    body: answer.body.toString('base64'),
  };
}

function applySizeLimit(answer: StoredAnswer): StoredAnswer {
  const isTooLarge = (answer.body?.length ?? 0) > MAX_STORED_BYTES;
  return isTooLarge ? {...answer, body: undefined} : answer;
}

function createServiceResponse(
  request: EndpointRequest,
  answer: StoredAnswer,
): HttpResponse {
  const body = Buffer.from(answer.body ?? '', 'base64');
  return {
    status: answer.status,
    headers: {
      'content-type': answer.contentType,
      [REQUEST_ID_HEADER]: request.requestId,
    },
    body: createBytesBody(body),
  };
}

async function* createBytesBody(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  yield bytes;
}
