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

/** Dependencies of CrashReporter. */
export interface CrashReporterParts {
  readonly clock: Clock;
  readonly pool: Pick<UpstreamPool, 'getRecord'>;
  readonly quarantine: RequestQuarantine;
}

/** Reports to the quarantine which attempts indicate that an upstream crashed or survived. */
export class CrashReporter {
  private readonly parts: CrashReporterParts;

  constructor(parts: CrashReporterParts) {
    this.parts = parts;
  }

  /** Reports the outcome of an attempt; outcomes that indicate neither are ignored. */
  recordOutcome(sent: SentAttempt, outcome: AttemptOutcome): void {
    const {quarantine} = this.parts;
    const {request, upstream} = sent;
    match(outcome)
      .with({type: 'answered'}, ({isProven}) => {
        quarantine.recordServed(request);
        if (isProven) quarantine.recordCompleted(request);
      })
      .with({type: 'failed', hasLostConnection: true}, () =>
        this.recordSuspectedCrash(sent),
      )
      // A complete error answer shows that the upstream survived the request.
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

  /** Reports that an upstream exceeded the inactivity time-out of an attempt. */
  recordUnresponsive(sent: SentAttempt): void {
    this.recordSuspectedCrash(sent);
  }

  // The end of a leaving upstream is planned and no crash.
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
