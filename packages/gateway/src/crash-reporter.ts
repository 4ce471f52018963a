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
export interface CrashSignsParts {
  readonly clock: Clock;
  readonly pool: Pick<UpstreamPool, 'getRecord'>;
  readonly quarantine: RequestQuarantine;
}

/** Tells the quarantine what attempts show of their requests and of upstreams' processes. */
export class CrashSigns {
  private readonly parts: CrashSignsParts;

  constructor(parts: CrashSignsParts) {
    this.parts = parts;
  }

  /** Takes what became of an attempt. */
  recordOutcome(sent: SentAttempt, outcome: AttemptOutcome): void {
    const {quarantine} = this.parts;
    const {request, upstream} = sent;
    match(outcome)
      .with({type: 'answered'}, () => quarantine.recordServed(request))
      .with({type: 'failed', isBroken: true}, () => this.recordBroken(sent))
      // The upstream lived to tell of its failure.
      .with({type: 'failed'}, ({passOn}) => {
        if (passOn) quarantine.recordServed(request);
      })
      .with({type: 'unsent', isRefused: true}, () =>
        quarantine.recordRefused(upstream.id),
      )
      .with({type: 'not-run', isOtherUpstream: true}, () =>
        quarantine.recordRefused(upstream.id),
      )
      .otherwise(() => {});
  }

  /** Notes that an upstream has been silent for too long. */
  recordSilence(sent: SentAttempt): void {
    this.recordBroken(sent);
  }

  // One that leaves ends by plan.
  private recordBroken({request, upstream, sentAtMs}: SentAttempt): void {
    const {clock, pool, quarantine} = this.parts;
    if (pool.getRecord(upstream.id)?.isLeaving) return;
    const endedAtMs = clock.getNow();
    quarantine.recordBroken(request, {upstream, sentAtMs, endedAtMs});
  }
}
