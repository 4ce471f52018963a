import type {Clock} from './clock.ts';
import {waitFor} from './waiting.ts';

/** Share by which pauses differ, so that a fleet's rounds spread out. */
const JITTER_RATIO = 0.25;

/** Runs a piece of work again and again, with a pause between, until stopped. */
export class RepeatingTask {
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly runOnce: () => Promise<number>;
  private readonly controller = new AbortController();

  /**
   * @param random Returns numbers from 0 to below 1.
   * @param runOnce Does the work; resolves to the milliseconds to pause after
   *   it. It must not reject.
   */
  constructor(
    clock: Clock,
    random: () => number,
    runOnce: () => Promise<number>,
  ) {
    this.clock = clock;
    this.random = random;
    this.runOnce = runOnce;
  }

  /** Resolves once stopped. */
  async start(): Promise<void> {
    const {signal} = this.controller;
    while (!signal.aborted) {
      const pauseMs = await this.runOnce();
      const delayMs =
        pauseMs * (1 - JITTER_RATIO + 2 * JITTER_RATIO * this.random());
      await waitFor(this.clock, delayMs, signal).catch(() => {});
    }
  }

  stop(): void {
    this.controller.abort(new Error('stopped'));
  }
}
