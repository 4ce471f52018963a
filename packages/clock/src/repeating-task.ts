import type {Clock} from './clock.ts';
import {waitFor} from './waiting.ts';

/** Largest fraction by which a pause varies, so that the rounds of a fleet spread out. */
const JITTER_RATIO = 0.25;

/** Runs a task repeatedly, with a pause after each run, until stopped. */
export class RepeatingTask {
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly runOnce: () => Promise<number>;
  private readonly controller = new AbortController();

  /**
   * @param random Returns numbers from 0 to below 1.
   * @param runOnce Runs the task once and resolves to the milliseconds to pause
   *   afterwards; must not reject.
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

  /** Runs the task until stopped, then resolves. */
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
