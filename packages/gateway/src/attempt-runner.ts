import type {Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {
  IsolatedAttempts,
  RequestQuarantine,
} from '@hollowstack/quarantine';
import {
  getSoftwareVersion,
  hasSoftwareVersion,
  isRepeatable,
  type RegisteredUpstream,
} from '@hollowstack/routes';
import type {StreamOrigins} from '@hollowstack/stream-origins';
import type {MemoryBudget} from '@hollowstack/transport';
import type {PromptPart} from '@hollowstack/types';
import type {PathConnector, PathOutage} from '@hollowstack/upstream-paths';
import type {UpstreamSignals} from '@hollowstack/upstream-signals';
import {Attempt, type AttemptOutcome} from './attempt.ts';
import type {CrashReporter} from './crash-reporter.ts';
import type {UpstreamAssignment} from './engine-assigner.ts';
import type {LimitedSends} from './limited-sends.ts';
import {InputsLostError, type ReleasableInputs} from './releasable-inputs.ts';
import type {PolicySettings} from './gateway-settings.ts';
import type {PlaceQueue} from './place-queue.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RoutedRequest} from './routed-request.ts';
import {createUnavailableError} from './unavailable-error.ts';
import type {UpstreamChooser} from './upstream-chooser.ts';
import type {UpstreamPool} from './upstream-pool.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import type {WindowRetryBudget} from './window-retry-budget.ts';

/** Dependencies of AttemptRunner. */
export interface AttemptRunnerParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly connector: PathConnector;
  readonly memory: MemoryBudget;
  readonly metrics: MetricsRegistry;
  readonly protocol: RequestProtocol;
  readonly pool: UpstreamPool;
  readonly registry: Pick<UpstreamRegistry, 'getState'>;
  readonly signals: Pick<UpstreamSignals, 'recordAnswer'>;
  readonly chooser: UpstreamChooser;
  readonly limitedSends: LimitedSends;
  readonly places: PlaceQueue;
  readonly retryBudget: WindowRetryBudget;
  readonly quarantine: RequestQuarantine;
  readonly isolatedAttempts: IsolatedAttempts;
  readonly crashReporter: CrashReporter;
  readonly streamOrigins: Pick<StreamOrigins, 'recordBegun'>;
  readonly policy: PolicySettings;
}

/** Number of unsent or misdirected attempts after which a request is rejected. */
const MAX_UNSENT_ATTEMPTS = 8;
/** Inactivity time-out of an engine that streams its answer, in milliseconds. */
const STREAM_INACTIVITY_TIMEOUT_MS = 1500;
/**
 * Lower bound of the inactivity time-out of a plain upstream, which does not stream its
 * answers, in milliseconds; several times the usual processing time.
 */
const MIN_INACTIVITY_TIMEOUT_MS = 100;
/** The inactivity time-out of a plain upstream is at least this multiple of the mean latency. */
const MEAN_LATENCY_FACTOR = 2.5;
/**
 * The inactivity time-out of a plain upstream is at least this share of the route's
 * objective; the rest of the objective suffices for another attempt.
 */
const OBJECTIVE_SHARE = 0.6;

/** Inputs that all attempts of a request share. */
export interface AttemptOptions {
  /** Parts of the prompt; the last one is the request's or its session's own. */
  readonly promptParts: readonly PromptPart[];
  /** Bytes of the inputs stored in each failure domain. */
  readonly inputBytesByDomain: ReadonlyMap<string, number>;
  /** Stage results that the upstream reads; undefined for a request without stages. */
  readonly inputs: ReleasableInputs | undefined;
  /** Ids of the upstreams at which the request has failed. */
  readonly excluded: Set<string>;
  /** Called with the milliseconds from the start of an attempt to its first event. */
  readonly handleFirstEvent?: (firstMs: number) => void;
}

/** Sends a request to one upstream after another until it succeeds or may not be retried. */
export class AttemptRunner {
  private readonly parts: AttemptRunnerParts;

  constructor(parts: AttemptRunnerParts) {
    this.parts = parts;
  }

  /**
   * Makes attempts until one is answered or no further attempt is allowed.
   *
   * @throws InputsLostError if the stages have to run again; another HollowstackError if
   * the request ends without an answer.
   */
  async run(request: RoutedRequest, options: AttemptOptions): Promise<void> {
    const {quarantine, isolatedAttempts} = this.parts;
    if (!quarantine.isIsolated(request))
      return this.runAttempts(request, options);
    request.presence.waitsFor = 'isolation';
    const release = await isolatedAttempts.acquire(
      request.service,
      request.signal,
    );
    try {
      await this.runAttempts(request, options);
    } finally {
      release();
    }
  }

  private async runAttempts(
    request: RoutedRequest,
    options: AttemptOptions,
  ): Promise<void> {
    const {retryBudget, quarantine, chooser} = this.parts;
    const {inputs, excluded} = options;
    let unsentCount = 0;
    for (;;) {
      request.signal.throwIfAborted();
      request.presence.waitsFor = 'choice';
      await quarantine.checkRequest(request);
      const upstream =
        (await this.acquireOnlyUpstream(request)) ??
        (await this.chooseUpstream(request, options));
      if (!upstream) {
        request.signal.throwIfAborted();
        throw this.createNoneLeftError(request);
      }
      if (request.signal.aborted) {
        chooser.recordUnsent(request, upstream.id);
        throw request.signal.reason;
      }
      const outcome = await this.attemptOnce(request, upstream.id, options);
      if (outcome.type === 'answered') return;
      this.logFailure(request, upstream.id, outcome);
      request.signal.throwIfAborted();
      if (outcome.type === 'not-run' && outcome.isInputGone) {
        if (retryBudget.acquireRetry(request.facts.service)) {
          throw new InputsLostError(outcome.reason, request);
        }
        throw createUnavailableError(request, outcome.reason);
      }
      const outage = this.findOutage(outcome);
      if (outage) {
        throw createUnavailableError(
          request,
          outage.reason,
          outage.retryAfterMs,
        );
      }
      excluded.add(upstream.id);
      if (isUnsent(outcome)) {
        unsentCount += 1;
        if (unsentCount < MAX_UNSENT_ATTEMPTS) continue;
      } else if (this.mayRetry(request, outcome)) {
        if (!inputs?.isReleased) continue;
        throw new InputsLostError(outcome.reason, request);
      }
      if (outcome.type === 'failed' && outcome.deliverFailure) {
        outcome.deliverFailure();
        return;
      }
      const unavailability = this.parts.pool.findUnavailability(
        request.facts.service,
        request.streamVersion,
      );
      throw createUnavailableError(
        request,
        outcome.reason,
        unavailability?.retryAfterMs,
      );
    }
  }

  private findOutage(outcome: AttemptOutcome): PathOutage | undefined {
    if (outcome.type !== 'unsent' || !outcome.isPathLost) return undefined;
    return this.parts.connector.findOutage();
  }

  // An isolated request may crash its upstream: it goes to an idle one if there is any, so
  // that no other request is lost with it.
  private chooseUpstream(
    request: RoutedRequest,
    {promptParts, inputBytesByDomain, excluded}: AttemptOptions,
  ): Promise<UpstreamAssignment | undefined> {
    const {pool, quarantine, chooser} = this.parts;
    const choiceOptions = {
      promptParts,
      inputBytesByDomain,
      excluded,
      isFinal: true,
    };
    if (!quarantine.isIsolated(request))
      return chooser.choose(request, choiceOptions);
    const {service, streamVersion} = request;
    const busy = new Set([...excluded, ...pool.listBusy(service)]);
    const hasIdle =
      pool.listCandidates(service, busy, streamVersion).length > 0;
    return chooser.choose(
      request,
      hasIdle ? {...choiceOptions, excluded: busy} : choiceOptions,
    );
  }

  private createNoneLeftError(request: RoutedRequest): HollowstackError {
    const unavailability = this.parts.pool.findUnavailability(
      request.facts.service,
      request.streamVersion,
    );
    return createUnavailableError(
      request,
      unavailability?.reason ?? 'no upstream left',
      unavailability?.retryAfterMs,
    );
  }

  private async acquireOnlyUpstream(
    request: RoutedRequest,
  ): Promise<{id: string} | undefined> {
    const upstream = this.findOnlyUpstream(request);
    const {limitedSends} = this.parts;
    if (upstream && limitedSends.isLimited(upstream.id)) {
      await limitedSends.acquireGrant(request, [upstream.id]);
    }
    return upstream;
  }

  // A request that has reached its maximum number of attempts is only repeated after its
  // lost inputs were recomputed, and then at the upstream of an earlier attempt: the first one
  // that can continue the stream.
  private findOnlyUpstream(request: RoutedRequest): {id: string} | undefined {
    const {pool} = this.parts;
    const {route} = request.facts;
    if (request.sentTo.length < route.maxAttempts) return undefined;
    const known = request.sentTo.flatMap(id => pool.getRecord(id) ?? []);
    const upstream = known.find(each =>
      hasSoftwareVersion(each, request.streamVersion),
    );
    if (!upstream && known.length > 0) {
      throw createUnavailableError(
        request,
        'no upstream that may still get it can continue the stream',
      );
    }
    if (!upstream || pool.maySend(upstream.id)) return upstream;
    const waitMs = pool.getWaitMs(upstream.id);
    throw createUnavailableError(
      request,
      waitMs > 0
        ? 'the only upstream that may still get it wants no work'
        : 'the only upstream that may still get it is leaving',
      waitMs || undefined,
    );
  }

  private async attemptOnce(
    request: RoutedRequest,
    upstreamId: string,
    options: AttemptOptions,
  ): Promise<AttemptOutcome> {
    const {pool, registry, places, chooser} = this.parts;
    request.registryState = registry.getState();
    const upstream = pool.getRecord(upstreamId);
    if (!upstream || !pool.maySend(upstreamId)) {
      chooser.recordUnsent(request, upstreamId);
      return createWithdrawn('the upstream is gone or wants no work');
    }
    request.presence.waitsFor = 'place';
    if (!(await places.acquire(upstreamId, request.signal))) {
      chooser.recordUnsent(request, upstreamId);
      return createWithdrawn('the upstream has no place');
    }
    try {
      return await this.sendOnce(request, upstream, options);
    } finally {
      places.release(upstreamId);
    }
  }

  private async sendOnce(
    request: RoutedRequest,
    upstream: RegisteredUpstream,
    {inputs, handleFirstEvent}: AttemptOptions,
  ): Promise<AttemptOutcome> {
    const {clock, connector, memory, protocol, pool, signals} = this.parts;
    const {chooser, policy, quarantine, crashReporter, limitedSends} =
      this.parts;
    const upstreamId = upstream.id;
    const attempt = new Attempt({
      clock,
      connector,
      memory,
      protocol,
      request,
      upstream,
      signals,
      acquireSend: () =>
        !request.signal.aborted &&
        hasSoftwareVersion(upstream, request.streamVersion) &&
        !quarantine.isQuarantined(request) &&
        limitedSends.takeGrant(request, upstreamId) &&
        pool.acquireSend(upstreamId),
      inputs,
      releasesAtFirstEvent:
        policy.earlyRelease || !request.facts.route.isResumable,
      handleFirstEvent: firstMs => {
        request.recordFirstEvent(clock.getNow());
        chooser.recordFirstEvent(request, upstreamId, firstMs);
        handleFirstEvent?.(firstMs);
        return this.recordBegun(request, upstream);
      },
      inactivity: {
        timeoutMs: this.computeInactivityTimeoutMs(request),
        handleTimeout: () => {
          const isPathLost =
            request.via === undefined && connector.isPathLost(upstream.address);
          if (!isPathLost) {
            crashReporter.recordUnresponsive(sentAttempt);
            chooser.recordUnresponsive(request, upstreamId);
          }
          return this.mayReplaceSilent(request);
        },
      },
    });
    const sentAttempt = {request, upstream, sentAtMs: clock.getNow()};
    request.presence.waitsFor = 'connection';
    pool.beginRequest(upstreamId);
    try {
      const outcome = await attempt.run();
      if (await this.isPathAtFault(upstream.address, outcome)) {
        chooser.recordUnsent(request, upstreamId);
        return outcome;
      }
      if (outcome.type === 'answered') {
        pool.recordOccupancy(upstreamId, clock.getNow() - sentAttempt.sentAtMs);
      }
      chooser.recordOutcome(request, upstreamId, outcome);
      crashReporter.recordOutcome(sentAttempt, outcome);
      return outcome;
    } finally {
      pool.endRequest(upstreamId);
    }
  }

  // Resolves once the caller may get the first event.
  private recordBegun(
    request: RoutedRequest,
    upstream: RegisteredUpstream,
  ): Promise<void> | undefined {
    const isFirst = !request.outgoing.headersSent;
    request.streamVersion ??= getSoftwareVersion(upstream);
    if (!isFirst || !request.facts.route.isResumable) return undefined;
    return this.parts.streamOrigins.recordBegun({
      key: request.getStreamKey(),
      service: request.service,
      version: request.streamVersion,
    });
  }

  private async isPathAtFault(
    address: string,
    outcome: AttemptOutcome,
  ): Promise<boolean> {
    if (outcome.type === 'unsent' && outcome.isPathLost) return true;
    const hasLostConnection =
      (outcome.type === 'unsent' || outcome.type === 'failed') &&
      outcome.hasLostConnection;
    if (!hasLostConnection) return false;
    return this.parts.connector.isPathAtFault(address);
  }

  private computeInactivityTimeoutMs(request: RoutedRequest): number {
    const {route, service} = request.facts;
    if (route.repeatability === 'stream') return STREAM_INACTIVITY_TIMEOUT_MS;
    const meanMs = this.parts.pool.getMeanMs(service) ?? 0;
    return Math.max(
      MIN_INACTIVITY_TIMEOUT_MS,
      MEAN_LATENCY_FACTOR * meanMs,
      OBJECTIVE_SHARE * route.objectiveMs,
    );
  }

  private mayReplaceSilent(request: RoutedRequest): boolean {
    const {pool, retryBudget} = this.parts;
    const {route, service} = request.facts;
    const hasAttemptLeft = request.sentTo.length < route.maxAttempts;
    if (!hasAttemptLeft || !isRepeatable(route)) return false;
    const others = pool.listCandidates(
      service,
      new Set(request.sentTo),
      request.streamVersion,
    );
    return others.length > 0 && retryBudget.hasRetry(service);
  }

  private mayRetry(
    request: RoutedRequest,
    outcome: Exclude<AttemptOutcome, {type: 'answered'}>,
  ): boolean {
    const {quarantine} = this.parts;
    const {route, service} = request.facts;
    if (request.sentTo.length >= route.maxAttempts) return false;
    if (outcome.type === 'failed') {
      if (!isRepeatable(route)) return false;
      if (outcome.hasLostConnection && quarantine.isIsolated(request))
        return false;
      if (request.outgoing.headersSent && !route.isResumable) return false;
    }
    return this.parts.retryBudget.acquireRetry(service);
  }

  private logFailure(
    request: RoutedRequest,
    upstreamId: string,
    outcome: Exclude<AttemptOutcome, {type: 'answered'}>,
  ): void {
    const {requestId, service, workspace} = request.facts;
    const hasLostConnection =
      outcome.type === 'failed' && outcome.hasLostConnection;
    const exceededLimit =
      outcome.type === 'failed' ? outcome.exceededLimit : undefined;
    if (exceededLimit) {
      this.parts.metrics.addToCounter('hollowstack_answers_over_limit_total', {
        limit: exceededLimit,
        service,
      });
    }
    this.parts.logger.logEvent('attempt.failed', {
      requestId,
      service,
      upstream: upstreamId,
      attempt: request.sentTo.length,
      outcome: outcome.type,
      reason: outcome.reason,
      exceededLimit,
      version: this.parts.pool.getRecord(upstreamId)?.softwareVersion,
      lastEventId: request.lastEventId,
      // Shows whether the same request was involved in several crashes.
      fingerprint: hasLostConnection ? request.getFingerprint() : undefined,
      workspace: hasLostConnection ? workspace?.name : undefined,
    });
  }
}

// A misdirected request reached another upstream than the intended one and was not run.
function isUnsent(outcome: AttemptOutcome): boolean {
  return (
    outcome.type === 'unsent' ||
    (outcome.type === 'not-run' && outcome.isMisdirected)
  );
}

function createWithdrawn(reason: string): AttemptOutcome {
  return {
    type: 'unsent',
    reason,
    isWithdrawn: true,
    isRefused: false,
    isPathLost: false,
    hasLostConnection: false,
  };
}
