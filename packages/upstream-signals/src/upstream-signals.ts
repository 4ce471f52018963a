import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {AnswerHead, SignalProtocol} from './answer-signals.ts';
import type {BackOffTable} from './back-off-table.ts';
import {MAX_BACK_OFF_MS, parseRetryAfterMs} from './retry-after.ts';

/** Dependencies of UpstreamSignals. */
export interface UpstreamSignalsParts {
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly protocol: SignalProtocol;
  readonly backOffs: Pick<BackOffTable, 'begin' | 'getWaitMs'>;
  /** Called whenever an upstream says that it leaves. */
  readonly handleLeaving: (upstreamId: string, requestId?: string) => void;
}

/** An answer, and the upstream that was called. */
export interface SignalAnswer {
  readonly upstream: {readonly id: string; readonly service: string};
  readonly head: AnswerHead;
  /** Id of the request, or of one of them, that the call was made for. */
  readonly requestId: string | undefined;
}

/** Upstreams remembered whose values could not be read, so that each is logged once. */
const MAX_UNREADABLE = 1000;
/** Characters of such a value in the log. */
const MAX_LOGGED_CHARACTERS = 40;

/** Takes note of what upstreams say of themselves in their answers. */
export class UpstreamSignals {
  private readonly parts: UpstreamSignalsParts;
  private readonly unreadable = new Set<string>();

  constructor(parts: UpstreamSignalsParts) {
    this.parts = parts;
  }

  /** Takes the head of an answer, whatever became of the request. */
  recordAnswer(answer: SignalAnswer): void {
    const {protocol, handleLeaving} = this.parts;
    const {upstream, head, requestId} = answer;
    const signals = protocol.readSignals(head, upstream.id);
    if (signals.isFromOther) return;
    if (signals.isLeaving) {
      this.countSignal(answer, 'leaving');
      handleLeaving(upstream.id, requestId);
    }
    const {retryAfter} = signals;
    if (retryAfter === undefined) return;
    const askedMs = parseRetryAfterMs(retryAfter);
    if (askedMs === undefined) this.recordUnreadable(answer, retryAfter);
    else if (askedMs > 0) this.beginBackOff(answer, askedMs);
  }

  private beginBackOff(answer: SignalAnswer, askedMs: number): void {
    const {logger, backOffs} = this.parts;
    const {upstream, head, requestId} = answer;
    this.countSignal(answer, 'back-off');
    const isKnown = backOffs.getWaitMs(upstream.id) > 0;
    backOffs.begin(upstream.id, Math.min(askedMs, MAX_BACK_OFF_MS));
    // What was under way as the first answer came brings the same word again.
    if (isKnown) return;
    logger.logEvent('upstream.back-off', {
      upstream: upstream.id,
      service: upstream.service,
      requestId,
      status: head.status,
      askedMs,
      forMs: Math.round(backOffs.getWaitMs(upstream.id)),
    });
  }

  private recordUnreadable(answer: SignalAnswer, value: string): void {
    const {upstream} = answer;
    this.countSignal(answer, 'unreadable');
    if (this.unreadable.has(upstream.id)) return;
    this.unreadable.add(upstream.id);
    if (this.unreadable.size > MAX_UNREADABLE) {
      const [oldest] = this.unreadable;
      this.unreadable.delete(oldest);
    }
    this.parts.logger.logEvent('upstream.retry-after-unreadable', {
      upstream: upstream.id,
      service: upstream.service,
      value: value.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }

  private countSignal(
    {upstream}: SignalAnswer,
    signal: 'leaving' | 'back-off' | 'unreadable',
  ): void {
    const {service} = upstream;
    const labels = {service, signal};
    this.parts.metrics.addToCounter(
      'hollowstack_upstream_signals_total',
      labels,
    );
  }
}
