import {
  addAbortHandler,
  addCloseHandler,
  rejectOnAbort,
} from '@hollowstack/cancellation';
import type {Clock} from '@hollowstack/clock';
import {HollowstackError, toHollowstackError} from '@hollowstack/errors';
import type {FreshnessTable} from '@hollowstack/freshness';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {RouteTable} from '@hollowstack/routes';
import type {PathTable} from '@hollowstack/upstream-paths';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {writeError} from './answer-writer.ts';
import {CallerPresence} from './caller-presence.ts';
import type {GatewayLifecycle} from './gateway-lifecycle.ts';
import type {RequestProtocol} from './request-protocol.ts';
import {
  OTHER_INSTANCE_RETRY_AFTER_MS,
  type RequestReader,
} from './request-reader.ts';
import type {RequestRunner} from './request-runner.ts';
import type {RouteHolder} from './route-holder.ts';
import type {RoutedRequest} from './routed-request.ts';

/** Dependencies of GatewayRequestHandler. */
export interface GatewayRequestHandlerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly protocol: RequestProtocol;
  readonly routeHolder: RouteHolder;
  readonly freshness: FreshnessTable;
  readonly reader: RequestReader;
  readonly lifecycle: GatewayLifecycle;
  readonly paths: Pick<PathTable, 'isIsolated'>;
  readonly runner: RequestRunner;
}

/**
 * Milliseconds after the start during which a request waits for the configuration and the
 * coordinator instead of being rejected. Both are known some 300 ms after the start if the
 * store or a peer answers, whereas a rejected caller retries only 2 s later.
 */
const MAX_START_WAIT_MS = 800;
/** Maximum characters of a caller's header in a log line. */
const MAX_LOGGED_LENGTH = 64;

/** Handles routed requests: reads them, runs them and settles them. */
export class GatewayRequestHandler {
  private readonly parts: GatewayRequestHandlerParts;
  private readonly startedAtMs: number;

  constructor(parts: GatewayRequestHandlerParts) {
    this.parts = parts;
    this.startedAtMs = parts.clock.getNow();
  }

  /** Answers one request; never rejects, since errors are sent to the caller. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const {lifecycle, protocol} = this.parts;
    const id = incoming.headers[protocol.headers.requestId];
    const requestId = typeof id === 'string' ? id : undefined;
    const presence = new CallerPresence(this.parts, {incoming, outgoing});
    const endRequest = lifecycle.beginRequest(outgoing);
    addCloseHandler(outgoing, endRequest);
    addAbortHandler(presence.signal, endRequest);
    if (lifecycle.isStopping()) outgoing.setHeader('Connection', 'close');
    try {
      const {clock, reader} = this.parts;
      const atMs = clock.getNow();
      const maxWaitMs = this.startedAtMs + MAX_START_WAIT_MS - atMs;
      const started = lifecycle.waitForStart(clock, maxWaitMs);
      await rejectOnAbort(started, presence.signal);
      const arrival = {incoming, outgoing, presence, requestId, atMs};
      const {request, table} = await reader.readRequest(arrival);
      this.checkAccepting();
      await this.runRequest(request, table);
    } catch (thrown) {
      const error = toHollowstackError(thrown);
      this.settleRejection(error, requestId, outgoing);
      presence.recordEnd({requestId, ran: error.ran, sentTo: []});
    }
  }

  // Called after the body was read: closing a connection with unread bytes resets it, and the
  // caller might not receive the answer.
  private checkAccepting(): void {
    if (!this.parts.lifecycle.isClosing()) return;
    throw createStoppingError();
  }

  private async runRequest(
    request: RoutedRequest,
    table: RouteTable,
  ): Promise<void> {
    const {clock, protocol, runner} = this.parts;
    const {facts, outgoing, controller} = request;
    const timer = clock.schedule(request.getRemainingMs(clock), () => {
      const error = request.createDeadlineError();
      controller.abort(error);
      writeError(outgoing, error, facts.requestId, protocol);
    });
    const removeRejectHandler = this.parts.lifecycle.addRejectHandler(() => {
      if (request.getRunStatus() === 'no')
        controller.abort(createStoppingError());
    });
    const removeAbortHandler = addAbortHandler(request.presence.signal, () =>
      controller.abort(
        new HollowstackError('caller-gone', 'the caller has gone', {
          ran: request.getRunStatus(),
        }),
      ),
    );
    try {
      request.signal.throwIfAborted();
      await runner.run(request, table);
      this.recordSettled(request, 'answered', '');
    } catch (thrown) {
      const reason = request.signal.aborted ? request.signal.reason : thrown;
      const error = createErrorWithRunStatus(
        toHollowstackError(reason),
        request,
      );
      if (!outgoing.writableEnded) {
        writeError(outgoing, error, facts.requestId, protocol);
      }
      this.recordSettled(request, error.kind, error.message);
    } finally {
      timer.cancel();
      removeRejectHandler();
      removeAbortHandler();
      request.presence.recordEnd({
        requestId: facts.requestId,
        ran: request.getRunStatus(),
        sentTo: request.sentTo,
      });
    }
  }

  private recordSettled(
    request: RoutedRequest,
    outcome: string,
    reason: string,
  ): void {
    const {clock, logger, metrics, protocol} = this.parts;
    const {facts} = request;
    const tookMs = clock.getNow() - facts.arrivedAtMs;
    const workspace = facts.workspace?.name ?? '';
    const labels = {workspace, route: facts.route.name};
    metrics.addToCounter('hollowstack_routed_requests_total', {
      ...labels,
      outcome,
    });
    metrics.recordLatency('hollowstack_routed_seconds', labels, tookMs);
    logger.logEvent('request.settled', {
      requestId: facts.requestId,
      route: facts.route.name,
      service: facts.service,
      workspace,
      workspacePriority: facts.workspace?.priority,
      routePriority: facts.route.priority,
      revision: facts.revision,
      viewAgeMs: this.parts.freshness.getState().ageMs,
      outcome,
      ran: request.getRunStatus(),
      reason,
      sentTo: request.sentTo.join(','),
      versions: request.sentVersions.join(','),
      resumedRequestId: facts.resumedRequestId?.slice(0, MAX_LOGGED_LENGTH),
      resumedAfter: request
        .getHeader(protocol.headers.lastEventId)
        ?.slice(0, MAX_LOGGED_LENGTH),
      lastEventId: request.lastEventId,
      via: request.via,
      isInstanceIsolated: this.parts.paths.isIsolated() || undefined,
      upstreamsRevision: request.registryState?.storeRevision,
      upstreamsAgeMs: request.registryState?.ageMs,
      upstreamsFrom: request.registryState?.source,
      status: request.outgoing.statusCode,
      tookMs: Math.round(tookMs),
      promptTokens: request.promptTokens,
      predictedMs: request.predictedMs,
      stagesMs: request.stagesMs,
      stages: request.stageDurationsText,
      objectiveMs: facts.route.objectiveMs,
      ageMs: Math.round(facts.ageMs),
      timeMs: Math.round(facts.deadlineAtMs - facts.arrivedAtMs),
      firstMs: request.getFirstEventMs(),
    });
  }

  private settleRejection(
    error: HollowstackError,
    requestId: string | undefined,
    outgoing: ServerResponse,
  ): void {
    const {logger, protocol, routeHolder, freshness} = this.parts;
    const routes = routeHolder.getState();
    const view = freshness.getState();
    const event =
      error.kind === 'internal' ? 'request.internal' : 'request.refused';
    logger.logEvent(event, {
      requestId,
      kind: error.kind,
      ran: error.ran,
      reason: error.message,
      revision: routes.revision,
      routesFrom: routes.source,
      routesInForceMs: routes.inForceMs,
      viewAgeMs: view.ageMs,
      viewFrom: view.source,
      stack: error.kind === 'internal' ? error.stack : undefined,
    });
    try {
      writeError(outgoing, error, requestId, protocol);
    } catch (thrown) {
      // Without an answer the caller must at least see the connection end.
      const {message, stack} = toHollowstackError(thrown);
      logger.logEvent('request.internal', {requestId, reason: message, stack});
      outgoing.destroy();
    }
  }
}

// An error of a later step may state that nothing was run although an earlier attempt may
// have run the request: the status recorded by the request takes precedence.
function createErrorWithRunStatus(
  error: HollowstackError,
  request: RoutedRequest,
): HollowstackError {
  const ran = request.getRunStatus();
  if (ran === 'no' || error.ran !== 'no') return error;
  return new HollowstackError(error.kind, error.message, {ran, cause: error});
}

function createStoppingError(): HollowstackError {
  return new HollowstackError('not-ready', 'this instance is stopping', {
    ran: 'no',
    retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS,
  });
}
