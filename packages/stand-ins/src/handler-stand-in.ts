import {
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {FaultSwitch, faultSettingSchema} from './fault-switch.ts';
import {WorkLog} from './work-log.ts';

/** Path of the control call that switches faults. */
export const CONTROL_PATH = '/stand-in/faults';

/** An upstream stand-in: a handler with a fault switch and a record of its work. */
export abstract class HandlerStandIn {
  readonly faults = new FaultSwitch();
  readonly workLog = new WorkLog();

  /** Answers one request as the upstream would. */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === CONTROL_PATH) return this.handleControl(request);
    if (request.path === '/health') return createJsonResponse(200, {});
    return this.handleWork(request);
  }

  /** Answers a request that is not a control call. */
  protected abstract handleWork(request: HttpRequest): Promise<HttpResponse>;

  /** Returns the echo headers, or another request's where answers are crossed. */
  protected createEchoHeaders(request: HttpRequest): Record<string, string> {
    const isCrossed = this.faults.getSetting().mode === 'crossed';
    const attemptId = request.headers['x-attempt-id'] ?? '';
    return {'x-attempt-id': isCrossed ? `other-${attemptId}` : attemptId};
  }

  private handleControl(request: HttpRequest): HttpResponse {
    const setting = faultSettingSchema
      .partial()
      .parse(JSON.parse(Buffer.from(request.body).toString()));
    this.faults.setSetting(setting);
    return createJsonResponse(200, this.faults.getSetting());
  }
}

/** Creates the refusal of work that was not begun. */
export function createNotRunResponse(reason: string): HttpResponse {
  return createJsonResponse(
    503,
    {error: {message: reason, type: 'not_run'}},
    {'retry-after': '1', 'x-not-run': 'true'},
  );
}

/** Creates a failure of work that was begun. */
export function createFailureResponse(
  echo: Record<string, string>,
): HttpResponse {
  return createJsonResponse(500, {error: {message: 'stand-in fault'}}, echo);
}

/** Reads a request's JSON body. */
export function parseRequestJson(request: HttpRequest): unknown {
  return JSON.parse(Buffer.from(request.body).toString('utf8'));
}
