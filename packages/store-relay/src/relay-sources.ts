import type {Clock} from '@hollowstack/clock';
import type {PeerRecord} from '@hollowstack/peers';

/** Why a source could not be used. */
export type SourceFailure = 'silent' | 'not-watching' | 'away';

/**
 * Milliseconds for which a source that failed is left out; about as long as a
 * watcher needs to find the store again.
 */
const BAN_MS = 2000;
/**
 * Sources asked in turn: one that was cut off from the store without noticing
 * is found out by the other at the next question.
 */
const SOURCES_IN_TURN = 2;

/** Remembers which sources failed, and asks the others in turn. */
export class RelaySources {
  private readonly clock: Clock;
  private readonly failed = new Map<
    string,
    {failure: SourceFailure; untilMs: number}
  >();
  private turn = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Chooses among sources, the preferred ones first; undefined where all failed. */
  chooseSource(sources: readonly PeerRecord[]): PeerRecord | undefined {
    this.removeOldFailures();
    const usable = sources
      .filter(({id}) => !this.failed.has(id))
      .slice(0, SOURCES_IN_TURN);
    this.turn += 1;
    return usable[this.turn % usable.length];
  }

  recordFailure(id: string, failure: SourceFailure): void {
    const untilMs = this.clock.getNow() + BAN_MS;
    this.failed.set(id, {failure, untilMs});
  }

  /**
   * Lets sources that could not reach the store be asked again.
   *
   * @returns Whether there were any.
   */
  restoreAwaySources(): boolean {
    const away = [...this.failed].filter(([, {failure}]) => failure === 'away');
    for (const [id] of away) this.failed.delete(id);
    return away.length > 0;
  }

  private removeOldFailures(): void {
    const nowMs = this.clock.getNow();
    for (const [id, {untilMs}] of this.failed) {
      if (untilMs <= nowMs) this.failed.delete(id);
    }
  }
}
