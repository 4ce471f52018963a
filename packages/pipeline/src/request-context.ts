import type {Clock} from '@hollowstack/clock';
import type {RequestDecisions} from '@hollowstack/decisions';

/** Who asks for what, by when. */
export interface RequestIdentity {
  readonly requestId: string;
  readonly workspace: string;
  /** Pipeline or service. */
  readonly target: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number;
  /** What the workspace weighs more where both cannot be had. */
  readonly objective: 'attainment' | 'cost';
}

/** One request on its way: its identity, its end, and what was decided about it. */
export class RequestContext {
  readonly identity: RequestIdentity;
  /** Aborts when the caller is gone or the deadline has passed. */
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

  /** Returns milliseconds left until the deadline. */
  getLeftMs(): number {
    return this.identity.deadlineMs - this.clock.getNow();
  }

  /** Creates an id that no other attempt has. */
  createAttemptId(): string {
    this.attemptCount += 1;
    return `${this.identity.requestId}.${this.attemptCount}`;
  }

  /**
   * Notes that an attempt is about to be sent. Until it has ended, the work
   * counts as begun: the deadline may pass while its bytes are on their way.
   */
  beginAttempt(): void {
    this.openAttempts += 1;
  }

  /** Notes how the attempt ended: whether the upstream may have begun the work. */
  endAttempt(mayHaveRun: boolean): void {
    this.openAttempts -= 1;
    this.hasPossiblyRun ||= mayHaveRun;
  }

  /** Returns whether any upstream may have begun work of this request. */
  mayHaveRun(): boolean {
    return this.hasPossiblyRun || this.openAttempts > 0;
  }

  /** Adds a decision to what `why` tells. */
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
