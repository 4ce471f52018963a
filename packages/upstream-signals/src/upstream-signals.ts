import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {parseLimit, type LimitTable} from '@hollowstack/upstream-limits';
import type {AnswerHead, SignalProtocol} from './answer-signals.ts';
import type {BackOffTable} from './back-off-table.ts';
import {MAX_BACK_OFF_MS, parseRetryAfterMs} from './retry-after.ts';
import type {CalledUpstream, ToleranceTable} from './tolerance-table.ts';

/** Dependencies of UpstreamSignals. */
export interface UpstreamSignalsParts {
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly protocol: SignalProtocol;
  readonly backOffs: Pick<BackOffTable, 'beginBackOff' | 'getWaitMs'>;
  readonly limits: Pick<
    LimitTable,
    'getLimit' | 'recordLimit' | 'recordNoLimit' | 'recordAssumedLimit'
  >;
  readonly tolerances: Pick<
    ToleranceTable,
    'recordTolerance' | 'recordNoTolerance' | 'judgeRate' | 'computePauseMs'
  >;
  /** Called for each answer in which an upstream announces that it shuts down. */
  readonly handleLeaving: (upstreamId: string, requestId?: string) => void;
}

/** An answer and the upstream that was called. */
export interface SignalAnswer {
  readonly upstream: {readonly id: string; readonly service: string};
  readonly head: AnswerHead;
  /** Id of a request that the call served; undefined if it served none. */
  readonly requestId: string | undefined;
  /** When the call was sent, in milliseconds of this instance's clock. */
  readonly sentAtMs: number;
}

/** Bounds the record of logged unreadable values, each of which is logged once per upstream. */
const MAX_LOGGED_UNREADABLE = 1000;
/** Length to which an unreadable value is truncated in the log. */
const MAX_LOGGED_CHARACTERS = 40;

/** Records the signals in the answers of upstreams. */
export class UpstreamSignals {
  private readonly parts: UpstreamSignalsParts;
  /** Event name and upstream id of the unreadable values that were logged. */
  private readonly loggedUnreadable = new Set<string>();

  constructor(parts: UpstreamSignalsParts) {
    this.parts = parts;
  }

  /** Records the signals of an answer, whether or not the request succeeded. */
  recordAnswer(answer: SignalAnswer): void {
    const {protocol, handleLeaving} = this.parts;
    const {upstream, head, requestId} = answer;
    const signals = protocol.readSignals(head, upstream.id);
    if (signals.isFromOtherUpstream) return;
    if (signals.isLeaving) {
      this.countSignal(answer, 'leaving');
      handleLeaving(upstream.id, requestId);
    }
    this.recordTolerance(answer, signals.tolerance);
    this.recordLimit(answer, signals.limit);
    if (signals.isFull) this.pauseBrittle(answer);
    const {retryAfter} = signals;
    if (retryAfter === undefined) return;
    const askedMs = parseRetryAfterMs(retryAfter);
    if (askedMs === undefined) {
      this.recordUnreadable(
        answer,
        'upstream.retry-after-unreadable',
        retryAfter,
      );
    } else if (askedMs > 0) this.beginBackOff(answer, askedMs);
  }

  /**
   * Limits registered upstreams that are brittle and have no limit yet. Without one, an upstream
   * that has just started would get the work of the whole service.
   */
  recordRegistered(upstreams: readonly CalledUpstream[]): void {
    const {limits, tolerances} = this.parts;
    for (const upstream of upstreams) {
      if (limits.getLimit(upstream.id) !== undefined) continue;
      const rate = tolerances.judgeRate(upstream, undefined);
      if (rate.type === 'bounded') {
        limits.recordAssumedLimit(upstream, rate.perSecond);
      }
    }
  }

  // An unreadable value neither sets nor ends a limit.
  private recordLimit(answer: SignalAnswer, value: string | undefined): void {
    const {limits, tolerances} = this.parts;
    const {upstream} = answer;
    const rate = tolerances.judgeRate(upstream, limits.getLimit(upstream.id));
    if (value === undefined) {
      // Other instances may have measured a rate that this one cannot judge yet.
      if (rate.type === 'unbounded') limits.recordNoLimit(answer);
      if (rate.type === 'bounded') limits.recordLimit(answer, rate.perSecond);
      return;
    }
    const perSecond = parseLimit(value);
    if (perSecond === undefined) {
      this.recordUnreadable(answer, 'upstream.limit-unreadable', value);
      return;
    }
    this.countSignal(answer, 'limit');
    const bound = rate.type === 'bounded' ? rate.perSecond : Infinity;
    limits.recordLimit(answer, Math.min(perSecond, bound));
  }

  // An unreadable value neither sets nor ends a tolerance.
  private recordTolerance(
    answer: SignalAnswer,
    value: string | undefined,
  ): void {
    const {tolerances} = this.parts;
    const {upstream, requestId, sentAtMs} = answer;
    if (value === undefined) {
      tolerances.recordNoTolerance(upstream, sentAtMs, requestId);
      return;
    }
    const perSecond = parseLimit(value);
    if (perSecond === undefined) {
      this.recordUnreadable(answer, 'upstream.tolerance-unreadable', value);
      return;
    }
    this.countSignal(answer, 'tolerance');
    tolerances.recordTolerance(upstream, perSecond, requestId);
  }

  private pauseBrittle({upstream}: SignalAnswer): void {
    const {backOffs, tolerances} = this.parts;
    const pauseMs = tolerances.computePauseMs(upstream.id);
    if (pauseMs !== undefined) backOffs.beginBackOff(upstream.id, pauseMs);
  }

  private beginBackOff(answer: SignalAnswer, askedMs: number): void {
    const {logger, backOffs} = this.parts;
    const {upstream, head, requestId} = answer;
    this.countSignal(answer, 'back-off');
    const wasBackingOff = backOffs.getWaitMs(upstream.id) > 0;
    backOffs.beginBackOff(upstream.id, Math.min(askedMs, MAX_BACK_OFF_MS));
    // Requests already in flight when the back-off began are refused as well; log it once.
    if (wasBackingOff) return;
    logger.logEvent('upstream.back-off', {
      upstream: upstream.id,
      service: upstream.service,
      requestId,
      status: head.status,
      askedMs,
      forMs: Math.round(backOffs.getWaitMs(upstream.id)),
    });
  }

  private recordUnreadable(
    answer: SignalAnswer,
    event:
      | 'upstream.retry-after-unreadable'
      | 'upstream.limit-unreadable'
      | 'upstream.tolerance-unreadable',
    value: string,
  ): void {
    const {upstream} = answer;
    this.countSignal(answer, 'unreadable');
    const key = `${event} ${upstream.id}`;
    if (this.loggedUnreadable.has(key)) return;
    this.loggedUnreadable.add(key);
    if (this.loggedUnreadable.size > MAX_LOGGED_UNREADABLE) {
      const [oldest] = this.loggedUnreadable;
      this.loggedUnreadable.delete(oldest);
    }
    this.parts.logger.logEvent(event, {
      upstream: upstream.id,
      service: upstream.service,
      value: value.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }

  private countSignal(
    {upstream}: SignalAnswer,
    signal: 'leaving' | 'back-off' | 'limit' | 'tolerance' | 'unreadable',
  ): void {
    const {service} = upstream;
    const labels = {service, signal};
    this.parts.metrics.addToCounter(
      'hollowstack_upstream_signals_total',
      labels,
    );
  }
}
