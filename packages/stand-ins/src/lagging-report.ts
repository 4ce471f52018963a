import type {Clock} from '@hollowstack/clock';
import type {LoadReport} from '@hollowstack/types';

/** Serves a cached load report that is up to `lagMs` milliseconds old. */
export class LaggingReport {
  private readonly clock: Clock;
  private readonly lagMs: number;
  private readonly createReport: () => LoadReport;
  private report: LoadReport;
  private takenAtMs: number;

  constructor(clock: Clock, lagMs: number, createReport: () => LoadReport) {
    this.clock = clock;
    this.lagMs = lagMs;
    this.createReport = createReport;
    this.takenAtMs = -Infinity;
    this.report = {running: 0, queued: 0, state: 'live'};
  }

  /** Returns the cached report, or a new one if the cached one is `lagMs` old. */
  getReport(): LoadReport {
    const nowMs = this.clock.getNow();
    if (nowMs - this.takenAtMs >= this.lagMs) {
      this.report = this.createReport();
      this.takenAtMs = nowMs;
    }
    return this.report;
  }
}
