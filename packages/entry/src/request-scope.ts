import {createDeadlineSignal, type Clock} from '@hollowstack/clock';
import type {DecisionLog} from '@hollowstack/decisions';
import {
  HollowstackError,
  toHollowstackError,
  type RunStatus,
} from '@hollowstack/errors';
import {RequestContext, type RequestIdentity} from '@hollowstack/pipeline';

/** A request context; `release` frees its deadline timer. */
export interface RequestScope {
  readonly context: RequestContext;
  release(): void;
}

/** Opens the context of a request: starts its deadline and the record of its decisions. */
export function openRequestScope(
  identity: RequestIdentity,
  arrivedAtMs: number,
  clock: Clock,
  decisionLog: DecisionLog,
  callerSignal: AbortSignal | undefined,
): RequestScope {
  const {requestId, workspace, target, deadlineMs} = identity;
  const deadline = createDeadlineSignal(
    clock,
    deadlineMs - clock.getNow(),
    () => new HollowstackError('deadline-exceeded', 'the deadline has passed'),
    callerSignal,
  );
  const record = decisionLog.startRequest(
    requestId,
    workspace,
    target,
    arrivedAtMs,
  );
  const context = new RequestContext(identity, deadline.signal, clock, record);
  return {context, release: () => deadline.release()};
}

/**
 * Returns the error with `ran` set, and records it as a decision. `ran` is `no`
 * only if no upstream may have begun any work of the request.
 *
 * @param ranIfBegun Value of `ran` if an upstream may have begun work.
 */
export function applyRunStatus(
  thrown: unknown,
  context: RequestContext,
  ranIfBegun: RunStatus,
): HollowstackError {
  const error = toHollowstackError(thrown);
  const {kind, message, retryAfterMs} = error;
  const ran = context.mayHaveRun() ? ranIfBegun : 'no';
  context.recordDecision('answer', 'error', `${kind}, ran: ${ran}`, [message]);
  return new HollowstackError(kind, message, {ran, retryAfterMs, cause: error});
}

const DEADLINE_HEADER = 'hollowstack-deadline-ms';

/**
 * Returns the deadline of a request in milliseconds since the epoch. A caller
 * may shorten the allowed time, but not extend it.
 *
 * @throws HollowstackError `bad-request` if the header is not a number above 0.
 */
export function computeDeadlineMs(
  arrivedAtMs: number,
  allowedMs: number,
  header: string | undefined,
): number {
  if (header === undefined) return arrivedAtMs + allowedMs;
  const requestedMs = Number(header);
  if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
    throw new HollowstackError(
      'bad-request',
      `${DEADLINE_HEADER}: write milliseconds as a number above 0`,
    );
  }
  return arrivedAtMs + Math.min(allowedMs, requestedMs);
}

/** Returns the value of the header by which a caller shortens its deadline; undefined if absent. */
export function getDeadlineHeader(
  headers: Readonly<Record<string, string>>,
): string | undefined {
  return headers[DEADLINE_HEADER];
}
