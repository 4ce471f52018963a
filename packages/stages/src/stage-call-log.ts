import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {InFlightPiece} from './job-state.ts';
import type {PieceFailure, PieceOutcome} from './stage-protocol.ts';

/** An answered call, as reported in logs and metrics. */
export interface AnsweredCall {
  readonly service: string;
  readonly upstreamId: string;
  readonly pieces: readonly InFlightPiece[];
  readonly outcomes: readonly PieceOutcome[];
  readonly tookMs: number;
  readonly expectedMs: number;
  /** Reserved and stored bytes of result memory at the upstream. */
  readonly usedBytes: number;
  readonly waitingJobs: number;
}

/** Logs an answered call and records its metrics. */
export function logAnsweredCall(
  call: AnsweredCall,
  logger: EventLogger,
  metrics: MetricsRegistry,
): void {
  const {service, upstreamId, pieces, tookMs} = call;
  metrics.addToCounter(
    'hollowstack_stage_pieces_total',
    {service},
    pieces.length,
  );
  metrics.recordLatency(
    'hollowstack_stage_call_seconds',
    {service, upstream: upstreamId},
    tookMs,
  );
  logger.logEvent('stage.call', {
    service,
    upstream: upstreamId,
    items: pieces.length,
    requests: [...new Set(pieces.map(({job}) => job.requestId))].join(','),
    tookMs: Math.round(tookMs),
    expectedMs: Math.round(call.expectedMs),
    noRoom: countFailed(call.outcomes, 'no-room'),
    inputGone: countFailed(call.outcomes, 'input-gone'),
    late: countFailed(call.outcomes, 'late'),
    failed: countFailed(call.outcomes, 'failed'),
    usedBytes: Math.round(call.usedBytes),
    waitingJobs: call.waitingJobs,
  });
}

function countFailed(
  outcomes: readonly PieceOutcome[],
  failure: PieceFailure,
): number {
  return outcomes.filter(
    outcome => outcome.type === 'failed' && outcome.failure === failure,
  ).length;
}
