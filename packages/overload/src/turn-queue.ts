import type {Clock} from '@hollowstack/clock';

/** Work that a process may begin. */
export interface PendingWork {
  begin(): void;
  /** Called instead of `begin` if the work would wait too long. */
  reject(): void;
}

/** How long work may wait, in milliseconds; work that would wait longer is rejected at once. */
export interface WaitLimits {
  /** Limit in a burst: some time ago nothing was waiting. */
  readonly burstMs: number;
  /** Limit while the queue has not been empty for `standingAfterMs`. */
  readonly standingMs: number;
  readonly standingAfterMs: number;
  /** Work that has waited this long, against the prediction, is rejected instead of begun. */
  readonly overdueMs: number;
}

/** Dependencies and limits of TurnQueue. */
export interface TurnQueueParts {
  readonly clock: Clock;
  /** Runs a callback at the end of the next turn of the event loop. */
  readonly scheduleTurnEnd: (callback: () => void) => void;
  readonly limits: WaitLimits;
}

/** State of a TurnQueue. */
export interface TurnQueueState {
  readonly waitingCount: number;
  /** Mean milliseconds between two pieces of work that begin while others wait; 0 if unknown. */
  readonly intervalMs: number;
}

interface Entry {
  readonly work: PendingWork;
  readonly addedAtMs: number;
}

/** Weight of the newest interval in the mean. */
const INTERVAL_WEIGHT = 0.05;
/** Longest interval that counts, in milliseconds; a stall of the process takes longer. */
const MAX_INTERVAL_MS = 200;
/** Milliseconds without waiting work after which the mean interval is no longer valid. */
const INTERVAL_VALIDITY_MS = 1000;
/** Number of successive turns with arrivals after which waiting work begins nevertheless. */
const MAX_ARRIVAL_TURNS = 8;

/**
 * Begins work in the order of its arrival, one piece in a turn of the event loop, and only in a
 * turn without arrivals. Work in progress has its events handled in each turn, so it goes first,
 * and the more of it there is, the longer a turn takes and the less new work begins.
 */
export class TurnQueue {
  private readonly parts: TurnQueueParts;
  private readonly waiting: Entry[] = [];
  private isActive = false;
  private hasArrivals = false;
  private arrivalTurns = 0;
  private intervalMs = 0;
  private begunAtMs = 0;
  /** Time since which work has been waiting; undefined if none is. */
  private waitingSinceMs: number | undefined;

  constructor(parts: TurnQueueParts) {
    this.parts = parts;
  }

  /** Begins work now if nothing else has arrived in this turn or the last one; else it waits. */
  add(work: PendingWork): void {
    const wasActive = this.isActive;
    this.recordArrival();
    const nowMs = this.parts.clock.getNow();
    if (!wasActive) {
      this.intervalMs = this.getState().intervalMs;
      this.begunAtMs = nowMs;
      work.begin();
    } else if (this.predictWaitMs() > this.getMaxWaitMs()) {
      work.reject();
    } else {
      this.waitingSinceMs ??= nowMs;
      this.waiting.push({work, addedAtMs: nowMs});
    }
  }

  /** Records work that begins without waiting; waiting work begins in a later turn. */
  recordArrival(): void {
    this.hasArrivals = true;
    if (this.isActive) return;
    this.isActive = true;
    this.arrivalTurns = 0;
    this.scheduleTurnEnd();
  }

  getState(): TurnQueueState {
    const idleMs = this.parts.clock.getNow() - this.begunAtMs;
    const isValid = this.waiting.length > 0 || idleMs < INTERVAL_VALIDITY_MS;
    return {
      waitingCount: this.waiting.length,
      intervalMs: isValid ? this.intervalMs : 0,
    };
  }

  private predictWaitMs(): number {
    const {waitingCount, intervalMs} = this.getState();
    return (waitingCount + 1) * intervalMs;
  }

  private getMaxWaitMs(): number {
    const {clock, limits} = this.parts;
    if (this.waitingSinceMs === undefined) return limits.burstMs;
    const standingMs = clock.getNow() - this.waitingSinceMs;
    return standingMs >= limits.standingAfterMs
      ? limits.standingMs
      : limits.burstMs;
  }

  private scheduleTurnEnd(): void {
    this.parts.scheduleTurnEnd(() => this.endTurn());
  }

  private endTurn(): void {
    if (this.hasArrivals && this.arrivalTurns < MAX_ARRIVAL_TURNS) {
      this.hasArrivals = false;
      this.arrivalTurns += 1;
      this.scheduleTurnEnd();
      return;
    }
    this.hasArrivals = false;
    this.arrivalTurns = 0;
    this.rejectOverdue();
    const next = this.waiting.shift();
    if (this.waiting.length === 0) this.waitingSinceMs = undefined;
    if (!next) {
      this.isActive = false;
      return;
    }
    this.recordBegin(next);
    next.work.begin();
    this.scheduleTurnEnd();
  }

  private rejectOverdue(): void {
    const {clock, limits} = this.parts;
    const sinceMs = clock.getNow() - limits.overdueMs;
    while (this.waiting.length > 0 && this.waiting[0].addedAtMs < sinceMs) {
      this.waiting.shift()!.work.reject();
    }
  }

  private recordBegin({addedAtMs}: Entry): void {
    const nowMs = this.parts.clock.getNow();
    const lastMs = nowMs - Math.max(this.begunAtMs, addedAtMs);
    const countedMs = Math.min(lastMs, MAX_INTERVAL_MS);
    this.intervalMs += INTERVAL_WEIGHT * (countedMs - this.intervalMs);
    this.begunAtMs = nowMs;
  }
}
