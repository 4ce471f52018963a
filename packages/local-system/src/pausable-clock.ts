import type {Clock, Timer} from '@hollowstack/clock';
import type {SimulatedProcess} from './simulated-process.ts';

/** The clock of one process: callbacks that are due while it is paused run when it resumes. */
export class PausableClock implements Clock {
  private readonly clock: Clock;
  private readonly simulatedProcess: SimulatedProcess;

  constructor(clock: Clock, simulatedProcess: SimulatedProcess) {
    this.clock = clock;
    this.simulatedProcess = simulatedProcess;
  }

  getNow(): number {
    return this.clock.getNow();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = this.clock.schedule(delayMs, () =>
      this.simulatedProcess.deliver(() => {
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
