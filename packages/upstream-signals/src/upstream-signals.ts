import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {AnswerHead, SignalProtocol} from './answer-signals.ts';
import {parseRetryAfterMs} from './retry-after.ts';

/** Dependencies of UpstreamSignals. */
export interface UpstreamSignalsParts {
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly protocol: SignalProtocol;
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

/** Takes note of what upstreams say of themselves in their answers. */
export class UpstreamSignals {
  private readonly parts: UpstreamSignalsParts;

  constructor(parts: UpstreamSignalsParts) {
    this.parts = parts;
  }

  /** Takes the head of an answer, whatever became of the request. */
  recordAnswer({upstream, head, requestId}: SignalAnswer): void {
    const {logger, protocol, handleLeaving} = this.parts;
    const {id, service} = upstream;
    const signals = protocol.readSignals(head, id);
    if (signals.isFromOther) return;
    const {isLeaving, retryAfter} = signals;
    const fields = {upstream: id, service, requestId, status: head.status};
    if (isLeaving) handleLeaving(id, requestId);
    if (retryAfter === undefined) return;
    const askedMs = parseRetryAfterMs(retryAfter);
    if (askedMs !== undefined) {
      logger.logEvent('upstream.back-off', {...fields, askedMs});
    }
  }
}
