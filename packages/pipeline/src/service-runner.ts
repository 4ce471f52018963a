import {HollowstackError} from '@hollowstack/errors';
import {
  readBody,
  type HttpHeaders,
  type HttpResponse,
} from '@hollowstack/transport';
import type {UpstreamCall} from './attempt.ts';
import type {GroupDirectory} from './group-directory.ts';
import {GroupRunner} from './group-runner.ts';
import type {GroupRunnerParts} from './group-work.ts';
import type {RequestContext} from './request-context.ts';
import {StageCall} from './stage-call.ts';
import {AttemptError} from './attempt-error.ts';

/** A call to a plain service, which runs as a single stage. */
export interface ServiceCallRequest {
  readonly service: string;
  readonly call: UpstreamCall;
  readonly isRepeatable: boolean;
}

/** Complete answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Buffer;
  readonly upstream: string;
}

/** Lowest HTTP status that reports a failure of the upstream. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Runs calls to plain services. */
export class ServiceRunner {
  private readonly groups: GroupDirectory;
  private readonly runner: GroupRunner;

  constructor(groups: GroupDirectory, parts: GroupRunnerParts) {
    this.groups = groups;
    this.runner = new GroupRunner(parts);
  }

  /** @throws HollowstackError if the service is unknown, or if the call fails or is refused. */
  async runCall(
    request: ServiceCallRequest,
    context: RequestContext,
  ): Promise<ServiceAnswer> {
    const group = this.groups.getService(request.service);
    if (!group) {
      throw new HollowstackError('not-found', `no service ${request.service}`);
    }
    const call = new PlainCall(request.call, request.isRepeatable);
    const {upstream} = await this.runner.runWork(
      group,
      {
        stage: 'service',
        call,
        isRepeatable: request.isRepeatable,
        laterStagesMs: 0,
      },
      context,
    );
    return {...call.getAnswer(), upstream};
  }
}

class PlainCall extends StageCall {
  private readonly call: UpstreamCall;
  private readonly isRepeatable: boolean;
  private answer: Omit<ServiceAnswer, 'upstream'> | undefined;

  constructor(call: UpstreamCall, isRepeatable: boolean) {
    super();
    this.call = call;
    this.isRepeatable = isRepeatable;
  }

  createCall(): UpstreamCall {
    return this.call;
  }

  async readResponse(response: HttpResponse): Promise<void> {
    const {status, headers} = response;
    const body = await readBody(response.body);
    // The answer to a call that must not be repeated goes to the caller, also
    // if it reports a failure.
    if (status >= FIRST_SERVER_ERROR_STATUS && this.isRepeatable) {
      throw new AttemptError('broken', `status ${status}`);
    }
    this.answer = {status, headers, body};
  }

  getRemainingUnits(): number {
    return 1;
  }

  getAnswer(): Omit<ServiceAnswer, 'upstream'> {
    return this.answer!;
  }
}
