import type {Clock} from '@hollowstack/clock';
import type {RequestDecisions} from '@hollowstack/decisions';

/** Caller, target, priority and deadline of a request. */
export interface RequestIdentity {
  readonly requestId: string;
  readonly workspace: string;
  /** Name of the pipeline or service. */
  readonly target: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
  /**
   * Whether the workspace prefers that more requests meet their deadline
   * (`attainment`) or that less work is spent on late ones (`cost`).
   */
  readonly objective: 'attainment' | 'cost';
}

/** State of one request: its identity, its abort signal and the decisions about it. */
export class RequestContext {
  readonly identity: RequestIdentity;
  /** Aborts when the caller has disconnected or the deadline has passed. */
  readonly signal: AbortSignal;
  readonly clock: Clock;
  private readonly record: RequestDecisions;
  private attemptCount = 0;
  private hasPossiblyRun = false;
  private openAttempts = 0;

  constructor(
    identity: RequestIdentity,
    signal: AbortSignal,
    clock: Clock,
    record: RequestDecisions,
  ) {
    this.identity = identity;
    this.signal = signal;
    this.clock = clock;
    this.record = record;
  }

  /** Returns the milliseconds left until the deadline; negative after it. */
  getLeftMs(): number {
    return this.identity.deadlineMs - this.clock.getNow();
  }

  /** Creates a unique id for the next attempt. */
  createAttemptId(): string {
    this.attemptCount += 1;
    return `${this.identity.requestId}.${this.attemptCount}`;
  }

  /**
   * Records that an attempt is about to be sent. Until it ends, the work counts
   * as begun, since the deadline may pass while its bytes are in flight.
   */
  beginAttempt(): void {
    this.openAttempts += 1;
  }

  /**
   * Records the end of an attempt.
   *
   * @param mayHaveRun Whether the upstream may have begun the work.
   */
  endAttempt(mayHaveRun: boolean): void {
    this.openAttempts -= 1;
    this.hasPossiblyRun ||= mayHaveRun;
  }

  /** Returns whether any upstream may have begun work of this request. */
  mayHaveRun(): boolean {
    return this.hasPossiblyRun || this.openAttempts > 0;
  }

  /** Records a decision that the `why` command shows. */
  recordDecision(
    stage: string,
    rule: string,
    outcome: string,
    inputs: string[] = [],
    setting?: string,
  ): void {
    this.record.decisions.push({
      atMs: this.clock.getNow(),
      stage,
      rule,
      outcome,
      inputs,
      setting,
    });
  }
}
