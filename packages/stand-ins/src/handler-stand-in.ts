import {
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {FaultSwitch, faultSettingSchema} from './fault-switch.ts';
import {WorkLog} from './work-log.ts';

/** Path of the control call that sets a stand-in's faults. */
export const CONTROL_PATH = '/stand-in/faults';

/** Base of the upstream stand-ins: a request handler with a fault switch and a work log. */
export abstract class HandlerStandIn {
  readonly faults = new FaultSwitch();
  readonly workLog = new WorkLog();

  /** Answers a request: a control call, a health check or work. */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === CONTROL_PATH) return this.handleControl(request);
    if (request.path === '/health') return createJsonResponse(200, {});
    return this.handleWork(request);
  }

  /** Answers a request that is neither a control call nor a health check. */
  protected abstract handleWork(request: HttpRequest): Promise<HttpResponse>;

  /** Creates the header that echoes the attempt id; a different id in mode `crossed`. */
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

/** Creates the 503 response for work that was rejected before it began. */
export function createNotRunResponse(reason: string): HttpResponse {
  return createJsonResponse(
    503,
    {error: {message: reason, type: 'not_run'}},
    {'retry-after': '1', 'x-not-run': 'true'},
  );
}

/** Creates the 500 response for work that failed after it began. */
export function createFailureResponse(
  echo: Record<string, string>,
): HttpResponse {
  return createJsonResponse(500, {error: {message: 'stand-in fault'}}, echo);
}

/**
 * Parses the JSON body of a request.
 *
 * @throws SyntaxError if the body is not JSON.
 */
export function parseRequestJson(request: HttpRequest): unknown {
  return JSON.parse(Buffer.from(request.body).toString('utf8'));
}
