import type {Clock, Timer} from '@hollowstack/clock';
import type {SimulatedProcess} from './simulated-process.ts';

/** A process's view of the clock: its callbacks wait while it is paused. */
export class PausableClock implements Clock {
  private readonly clock: Clock;
  private readonly gate: SimulatedProcess;

  constructor(clock: Clock, gate: SimulatedProcess) {
    this.clock = clock;
    this.gate = gate;
  }

  getNow(): number {
    return this.clock.getNow();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = this.clock.schedule(delayMs, () =>
      this.gate.deliver(() => {
        if (!isCancelled) callback();
      }),
    );
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }
}
