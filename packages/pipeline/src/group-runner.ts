import {judgeDeadline, judgeRetry} from '@hollowstack/admission';
import {HollowstackError} from '@hollowstack/errors';
import type {Choice} from '@hollowstack/routing';
import {match} from 'ts-pattern';
import {AttemptError} from './attempt-error.ts';
import {Attempt, REQUEST_ID_HEADER} from './attempt.ts';
import type {PoolSlot} from './pool-slot-queue.ts';
import type {RequestContext} from './request-context.ts';
import type {UpstreamGroup} from './upstream-group.ts';
import {
  OBJECTIVE_POLICIES,
  getAffinityKey,
  getFirstByteKey,
  toRoutableWork,
  type GroupOutcome,
  type GroupRunnerParts,
  type GroupWork,
} from './group-work.ts';

/**
 * Multiple of the mean time to the first byte after which an attempt without
 * activity fails.
 */
const SILENCE_TIMEOUT_FACTOR = 4;
/** Lower bound in milliseconds of the inactivity timeout that is derived from that mean. */
const MIN_SILENCE_TIMEOUT_MS = 250;

/** Runs the work of a stage and retries it, preferably at other upstreams, until one completes it. */
export class GroupRunner {
  private readonly parts: GroupRunnerParts;

  constructor(parts: GroupRunnerParts) {
    this.parts = parts;
  }

  /** @throws HollowstackError if the work is refused or no further retry is allowed. */
  async runWork(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
  ): Promise<GroupOutcome> {
    const triedIds = new Set<string>();
    let waitedMs = 0;
    group.retryBudget.recordRequest();
    for (let attempts = 1; ; attempts++) {
      this.checkDeadline(group, work, context);
      const slot = await this.acquirePoolSlot(group, work, context);
      waitedMs += slot.waitedMs;
      try {
        await this.parts.waitUntilFresh();
        const upstream = await this.attemptOnce(group, work, context, triedIds);
        return {upstream, attempts, waitedMs};
      } catch (error) {
        if (!(error instanceof AttemptError)) throw error;
        this.checkRetry(group, work, context, error, attempts);
      } finally {
        slot.release();
      }
    }
  }

  private checkDeadline(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
  ): void {
    const {identity, clock} = context;
    const routable = toRoutableWork(work, context);
    const bestMs = group.predictBestMs(routable);
    if (bestMs === undefined) {
      throw this.createUnavailableError(group, work, context);
    }
    if (!this.parts.policy.refuseDoomed) return;
    const meanMs = group.durations.getMeanMs(routable.classKey, bestMs);
    const aheadCount = group.slotQueue.countAhead(identity.priority);
    const verdict = judgeDeadline({
      nowMs: clock.getNow(),
      deadlineMs: identity.deadlineMs,
      waitMs: (aheadCount * bestMs) / group.slotQueue.getLimit(),
      remainingMs: Math.max(bestMs, meanMs) + work.laterStagesMs,
      requiredShare: OBJECTIVE_POLICIES[identity.objective].requiredShare,
    });
    if (verdict.isReachable) return;
    const {leftMs, neededMs, retryAfterMs} = verdict;
    context.recordDecision(
      work.stage,
      'deadline',
      'refused: the predicted finish lies behind the deadline',
      [
        `left ${leftMs.toFixed(0)} ms, needed ${neededMs.toFixed(0)} ms`,
        `${aheadCount} ahead, ${work.laterStagesMs.toFixed(0)} ms for later stages`,
      ],
      `pipelines.${identity.target}.deadlineMs of workspace ${identity.workspace}`,
    );
    throw new HollowstackError(
      'deadline-unreachable',
      `stage ${work.stage} needs about ${neededMs.toFixed(0)} ms, ${leftMs.toFixed(0)} ms are left`,
      {retryAfterMs},
    );
  }

  private async acquirePoolSlot(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
  ): Promise<PoolSlot> {
    const {identity, signal} = context;
    const bestMs = group.predictBestMs(toRoutableWork(work, context)) ?? 0;
    const {requiredShare} = OBJECTIVE_POLICIES[identity.objective];
    const neededMs = this.parts.policy.refuseDoomed
      ? (bestMs + work.laterStagesMs) * requiredShare
      : 0;
    try {
      return await group.slotQueue.acquireSlot(
        {
          workspace: identity.workspace,
          priority: identity.priority,
          deadlineMs: identity.deadlineMs,
          latestStartMs: identity.deadlineMs - neededMs,
        },
        signal,
      );
    } catch (error) {
      if (error instanceof HollowstackError) {
        context.recordDecision(
          work.stage,
          'queue',
          `refused: ${error.message}`,
          [
            `limit ${group.slotQueue.getLimit()}, in service ${group.slotQueue.total}`,
          ],
          `concurrencyPerUpstream of ${group.getSettings().name}`,
        );
      }
      throw error;
    }
  }

  private async attemptOnce(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    triedIds: Set<string>,
  ): Promise<string> {
    const choice = this.chooseUpstream(group, work, context, triedIds);
    const upstream = group.getUpstream(choice.id)!;
    const routable = toRoutableWork(work, context);
    const startedAtMs = this.parts.clock.getNow();
    triedIds.add(choice.id);
    const occupancy = group.recordDispatch(choice.id);
    const attempt = new Attempt(
      this.parts.client,
      this.parts.clock,
      context.createAttemptId(),
      {
        silenceMs: this.computeSilenceTimeoutMs(
          group,
          work,
          context,
          occupancy,
        ),
        getLastActivityAtMs: () => group.getLastActivityAtMs(choice.id),
        recordChunk: () => group.recordChunk(choice.id),
      },
      context.signal,
    );
    context.beginAttempt();
    try {
      const call = work.call.createCall();
      const headers = {
        ...call.headers,
        [REQUEST_ID_HEADER]: context.identity.requestId,
        'x-priority': String(context.identity.priority),
      };
      const response = await attempt.send(upstream.address, {...call, headers});
      await work.call.readResponse(response);
      group.durations.recordMs(
        getFirstByteKey(work, context),
        attempt.getFirstByteMs() ?? 0,
      );
      const durationMs = this.parts.clock.getNow() - startedAtMs;
      group.recordSuccess(choice.id, routable, durationMs, occupancy);
      context.endAttempt(true);
      return choice.id;
    } catch (error) {
      const failure = toAttemptError(error);
      context.endAttempt(failure.mayHaveRun());
      this.recordFailure(group, work, context, choice.id, failure);
      if (failure.failure === 'given-up' || failure.failure === 'silent') {
        const elapsedMs = this.parts.clock.getNow() - startedAtMs;
        group.recordUnfinished(choice.id, routable, elapsedMs, occupancy);
      }
      throw failure;
    } finally {
      attempt.close();
      this.recordUpstreamLatency(group, work, context, startedAtMs);
    }
  }

  private chooseUpstream(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    triedIds: ReadonlySet<string>,
  ): Choice {
    const routable = toRoutableWork(work, context);
    const candidates = group.listCandidates(routable, triedIds);
    const {prompt} = routable;
    const choice = this.parts.selector.chooseUpstream({
      candidates,
      affinityKey: prompt === undefined ? undefined : getAffinityKey(prompt),
    });
    if (!choice) throw this.createUnavailableError(group, work, context);
    const compared = candidates.filter(({id}) => choice.compared.includes(id));
    context.recordDecision(
      work.stage,
      'upstream',
      `${choice.id}: ${choice.reason}`,
      compared.map(
        ({id, ownInFlight, predictedMs}) =>
          `${id}: predicted ${predictedMs.toFixed(1)} ms, ${ownInFlight} in flight`,
      ),
    );
    return choice;
  }

  private createUnavailableError(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
  ): HollowstackError {
    const {name} = group.getSettings();
    const states = group.listStatuses().map(({id, state}) => `${id}: ${state}`);
    context.recordDecision(
      work.stage,
      'candidates',
      `refused: no upstream of ${name} can take the work`,
      states,
      `upstreams of ${name}`,
    );
    return new HollowstackError(
      'upstream-unavailable',
      `no upstream of ${name} can take the work`,
    );
  }

  private recordFailure(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    upstream: string,
    error: AttemptError,
  ): void {
    context.recordDecision(
      work.stage,
      'attempt',
      `${upstream}: ${error.message}`,
    );
    const {name} = group.getSettings();
    this.parts.metrics.addToCounter('hollowstack_attempt_failures_total', {
      pool: name,
      upstream,
      failure: error.failure,
    });
    match(error.failure)
      .with('given-up', () => group.recordCancelled(upstream))
      .with('not-run', () =>
        group.recordNotRun(upstream, error.retryAfterMs ?? 0),
      )
      .with('refused', () => group.recordFailure(upstream, 'refused'))
      .with('crossed', () => {
        this.parts.logger.logEvent('upstream.crossed-answer', {
          pool: name,
          upstream,
          requestId: context.identity.requestId,
        });
        group.recordFailure(upstream, 'broken');
      })
      .with('silent', () => {
        // If the upstream reports progress, it is full rather than stuck, so
        // the timeout does not count against its health.
        if (group.isProgressing(upstream)) group.recordCancelled(upstream);
        else group.recordFailure(upstream, 'broken');
      })
      .with('broken', () => group.recordFailure(upstream, 'broken'))
      .exhaustive();
  }

  private checkRetry(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    error: AttemptError,
    attempts: number,
  ): void {
    if (context.signal.aborted) throw context.signal.reason;
    const {maxAttempts} = OBJECTIVE_POLICIES[context.identity.objective];
    const verdict = judgeRetry({
      attempts,
      maxAttempts,
      mayHaveRun: error.mayHaveRun(),
      isRepeatable: work.isRepeatable,
      leftMs: context.getLeftMs(),
      predictedMs: group.predictBestMs(toRoutableWork(work, context)) ?? 0,
    });
    // The budget keeps retries from multiplying load. A retry of work that did
    // not run adds none, so it is not charged.
    const isAllowed =
      verdict === 'retry' &&
      (!error.mayHaveRun() || group.retryBudget.acquireRetry());
    context.recordDecision(
      work.stage,
      'retry',
      verdict === 'retry' && !isAllowed ? 'retry budget used up' : verdict,
      [`attempt ${attempts} of ${maxAttempts}: ${error.failure}`],
    );
    if (isAllowed) return;
    throw this.createFinalError(work, error);
  }

  private createFinalError(
    work: GroupWork,
    error: AttemptError,
  ): HollowstackError {
    const message = `stage ${work.stage}: ${error.message}`;
    if (!error.mayHaveRun()) {
      return new HollowstackError('upstream-unavailable', message, {
        cause: error,
      });
    }
    const kind = work.isRepeatable ? 'upstream-failed' : 'outcome-unknown';
    return new HollowstackError(kind, message, {cause: error});
  }

  // The mean time to the first byte reveals a stuck upstream well before the
  // pool's own limit, while there is still time for a retry elsewhere.
  private computeSilenceTimeoutMs(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    occupancy: number,
  ): number {
    const {silenceMs} = group.getSettings();
    if (!work.isRepeatable || !this.parts.policy.adaptSilence) return silenceMs;
    const meanMs = group.durations.getMeanMs(
      getFirstByteKey(work, context),
      silenceMs,
    );
    return Math.min(
      silenceMs,
      Math.max(
        MIN_SILENCE_TIMEOUT_MS,
        meanMs * SILENCE_TIMEOUT_FACTOR * (1 + occupancy),
      ),
    );
  }

  private recordUpstreamLatency(
    group: UpstreamGroup,
    work: GroupWork,
    context: RequestContext,
    startedAtMs: number,
  ): void {
    const {workspace} = context.identity;
    this.parts.metrics.recordLatency(
      'hollowstack_upstream_seconds',
      {workspace, stage: work.stage, pool: group.getSettings().name},
      this.parts.clock.getNow() - startedAtMs,
    );
  }
}

function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new AttemptError('broken', `unreadable answer: ${message}`, {
    cause: error,
  });
}
