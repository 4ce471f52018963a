import type {Clock} from '@hollowstack/clock';
import type {LoadReport} from '@hollowstack/types';
import {
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {
  HandlerStandIn,
  createFailureResponse,
  createNotRunResponse,
} from './handler-stand-in.ts';
import {LaggingReport} from './lagging-report.ts';
import {SlotQueue} from './slot-queue.ts';

/** Capacity and speed of a plain service. */
export interface ServiceOptions {
  readonly slots: number;
  readonly serviceMs: number;
  readonly reportLagMs: number;
}

/** A stand-in for a plain service; counts the runs of each call by its body. */
export class ServiceStandIn extends HandlerStandIn {
  private readonly clock: Clock;
  private readonly options: ServiceOptions;
  private readonly slots: SlotQueue;
  private readonly report: LaggingReport;
  private readonly runCounts = new Map<string, number>();

  constructor(clock: Clock, options: ServiceOptions) {
    super();
    this.clock = clock;
    this.options = options;
    this.slots = new SlotQueue(clock, options.slots);
    this.report = new LaggingReport(clock, options.reportLagMs, () =>
      this.createReport(),
    );
  }

  /** Returns how many times the call with this body ran. */
  getRunCount(body: string): number {
    return this.runCounts.get(body) ?? 0;
  }

  protected async handleWork(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === '/load') {
      return createJsonResponse(200, this.report.getReport());
    }
    if (request.path === '/stand-in/run-count') {
      const requestedBody = Buffer.from(request.body).toString('utf8');
      return createJsonResponse(200, {count: this.getRunCount(requestedBody)});
    }
    const {mode, slowFactor} = this.faults.getSetting();
    if (mode === 'leaving') return createNotRunResponse('leaving');
    const echo = this.createEchoHeaders(request);
    const body = Buffer.from(request.body).toString('utf8');
    const record = this.workLog.startWork(
      request.headers['x-request-id'] ?? '',
      request.headers['x-attempt-id'] ?? '',
      body,
      this.clock.getNow(),
    );
    const durationMs = this.options.serviceMs * slowFactor;
    await this.runJob(mode === 'wedged' ? Infinity : durationMs);
    // A plain service does not notice a disconnected caller: it runs every call that it
    // has accepted, so a call that is not repeatable must never be sent twice.
    this.runCounts.set(body, this.getRunCount(body) + 1);
    record.outcome = 'finished';
    if (mode === 'failing') return createFailureResponse(echo);
    const answer = {ran: body, count: this.getRunCount(body)};
    return createJsonResponse(200, answer, echo);
  }

  private createReport(): LoadReport {
    return {
      running: this.slots.getRunningCount(),
      queued: this.slots.getQueuedCount(),
      state: this.faults.getSetting().mode === 'leaving' ? 'leaving' : 'live',
      atMs: this.clock.getNow(),
    };
  }

  private runJob(durationMs: number): Promise<void> {
    if (durationMs === Infinity) return new Promise(() => {});
    return new Promise(resolve => {
      this.slots.addJob(0, durationMs, () => {}, resolve);
    });
  }
}
