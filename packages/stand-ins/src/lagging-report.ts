import type {Clock} from '@hollowstack/clock';
import type {LoadReport} from '@hollowstack/types';

/** Serves load reports that are up to `lagMs` old. */
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

  /** Returns the newest report that the lag allows. */
  getReport(): LoadReport {
    const nowMs = this.clock.getNow();
    if (nowMs - this.takenAtMs >= this.lagMs) {
      this.report = this.createReport();
      this.takenAtMs = nowMs;
    }
    return this.report;
  }
}
