import type {HollowstackError} from './hollowstack-error.ts';
import type {ErrorKind, RunStatus} from './kinds.ts';

/** Problem details as defined by RFC 9457, extended by fields of hollowstack. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly ran: RunStatus;
  readonly action: string;
  readonly requestId: string;
  /** Milliseconds after which to retry. */
  readonly retryAfterMs?: number;
}

/** Creates the problem details for an error. */
export function createProblem(
  error: HollowstackError,
  requestId: string,
): Problem {
  const answer = error.getAnswer();
  return {
    type: `urn:hollowstack:problem:${error.kind}`,
    title: answer.title,
    status: answer.status,
    detail: error.message,
    kind: error.kind,
    ran: error.ran,
    action: answer.action,
    requestId,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: error.retryAfterMs}),
  };
}
