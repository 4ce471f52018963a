import type {Clock} from '@hollowstack/clock';
import type {RequestQuarantine} from '@hollowstack/quarantine';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {match} from 'ts-pattern';
import type {AttemptOutcome} from './attempt.ts';
import type {RoutedRequest} from './routed-request.ts';
import type {UpstreamPool} from './upstream-pool.ts';

/** An attempt that was sent. */
export interface SentAttempt {
  readonly request: RoutedRequest;
  readonly upstream: RegisteredUpstream;
  readonly sentAtMs: number;
}

/** Dependencies of CrashSigns. */
export interface CrashReporterParts {
  readonly clock: Clock;
  readonly pool: Pick<UpstreamPool, 'getRecord'>;
  readonly quarantine: RequestQuarantine;
}

/** Tells the quarantine what attempts show of their requests and of upstreams' processes. */
export class CrashReporter {
  private readonly parts: CrashReporterParts;

  constructor(parts: CrashReporterParts) {
    this.parts = parts;
  }

  /** Takes what became of an attempt. */
  recordOutcome(sent: SentAttempt, outcome: AttemptOutcome): void {
    const {quarantine} = this.parts;
    const {request, upstream} = sent;
    match(outcome)
      .with({type: 'answered'}, () => quarantine.recordServed(request))
      .with({type: 'failed', hasLostConnection: true}, () =>
        this.recordSuspectedCrash(sent),
      )
      // The upstream lived to tell of its failure.
      .with({type: 'failed'}, ({deliverFailure}) => {
        if (deliverFailure) quarantine.recordServed(request);
      })
      .with({type: 'unsent', isRefused: true}, () =>
        quarantine.recordRefusedConnection(upstream.id),
      )
      .with({type: 'not-run', isMisdirected: true}, () =>
        quarantine.recordRefusedConnection(upstream.id),
      )
      .otherwise(() => {});
  }

  /** Notes that an upstream has been silent for too long. */
  recordUnresponsive(sent: SentAttempt): void {
    this.recordSuspectedCrash(sent);
  }

  // One that leaves ends by plan.
  private recordSuspectedCrash({
    request,
    upstream,
    sentAtMs,
  }: SentAttempt): void {
    const {clock, pool, quarantine} = this.parts;
    if (pool.getRecord(upstream.id)?.isLeaving) return;
    const endedAtMs = clock.getNow();
    quarantine.recordBroken(request, {upstream, sentAtMs, endedAtMs});
  }
}
