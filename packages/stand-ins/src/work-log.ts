/** One unit of work that a stand-in has started. */
export interface WorkRecord {
  readonly requestId: string;
  readonly attemptId: string;
  /** The prompt at an engine, the path at a pool, the request body at a plain service. */
  readonly subject: string;
  readonly startedAtMs: number;
  /** Milliseconds of upstream time spent on the work so far. */
  busyMs: number;
  outcome: 'running' | 'finished' | 'cancelled';
}

// Bounds memory in long load runs: the oldest records are dropped, but still count in the totals.
const MAX_RECORDS = 50_000;

/** The work that a stand-in has started; test oracles compare it with the answers to callers. */
export class WorkLog {
  private readonly records: WorkRecord[] = [];
  private startedCount = 0;
  private totalBusyMs = 0;

  /** Records the start of work; the caller updates the returned record's outcome. */
  startWork(
    requestId: string,
    attemptId: string,
    subject: string,
    startedAtMs: number,
  ): WorkRecord {
    const record: WorkRecord = {
      requestId,
      attemptId,
      subject,
      startedAtMs,
      busyMs: 0,
      outcome: 'running',
    };
    this.records.push(record);
    if (this.records.length > MAX_RECORDS) this.records.shift();
    this.startedCount += 1;
    return record;
  }

  /** Adds milliseconds of upstream time to a record and to the total. */
  addBusyMs(record: WorkRecord, busyMs: number): void {
    record.busyMs += busyMs;
    this.totalBusyMs += busyMs;
  }

  listRecords(): readonly WorkRecord[] {
    return this.records;
  }

  getStartedCount(): number {
    return this.startedCount;
  }

  getTotalBusyMs(): number {
    return this.totalBusyMs;
  }
}
