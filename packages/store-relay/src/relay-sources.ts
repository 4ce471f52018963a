import type {Clock} from '@hollowstack/clock';
import type {PeerRecord} from '@hollowstack/peers';

/** Why a source could not be used. */
export type SourceFailure = 'silent' | 'not-watching' | 'away';

/**
 * Milliseconds for which a source that failed is left out; about as long as a watcher
 * needs to reach the store again.
 */
const FAILURE_COOLDOWN_MS = 2000;
/**
 * Sources that are asked alternately. If one is cut off from the store without detecting
 * it, the next poll gets the missing changes from the other.
 */
const MAX_ALTERNATING_SOURCES = 2;

/** Remembers which sources failed, and alternates between the others. */
export class RelaySources {
  private readonly clock: Clock;
  private readonly failures = new Map<
    string,
    {failure: SourceFailure; untilMs: number}
  >();
  private choiceCount = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Chooses the next source; undefined if all have failed recently.
   *
   * @param sources The sources in order of preference.
   */
  chooseSource(sources: readonly PeerRecord[]): PeerRecord | undefined {
    this.removeOldFailures();
    const usable = sources
      .filter(({id}) => !this.failures.has(id))
      .slice(0, MAX_ALTERNATING_SOURCES);
    this.choiceCount += 1;
    return usable[this.choiceCount % usable.length];
  }

  recordFailure(id: string, failure: SourceFailure): void {
    const untilMs = this.clock.getNow() + FAILURE_COOLDOWN_MS;
    this.failures.set(id, {failure, untilMs});
  }

  /**
   * Makes sources that could not reach the store eligible again.
   *
   * @returns Whether there were any.
   */
  restoreAwaySources(): boolean {
    const away = [...this.failures].filter(
      ([, {failure}]) => failure === 'away',
    );
    for (const [id] of away) this.failures.delete(id);
    return away.length > 0;
  }

  private removeOldFailures(): void {
    const nowMs = this.clock.getNow();
    for (const [id, {untilMs}] of this.failures) {
      if (untilMs <= nowMs) this.failures.delete(id);
    }
  }
}
