/** One piece of work that a stand-in took on. */
export interface WorkRecord {
  readonly requestId: string;
  readonly attemptId: string;
  /** What the work was about; for plain services the call's own id. */
  readonly subject: string;
  readonly startedAtMs: number;
  /** Milliseconds of upstream time spent so far. */
  busyMs: number;
  outcome: 'running' | 'finished' | 'cancelled';
}

// Load runs last long; only the newest records are kept, the totals go on.
const KEPT_RECORDS = 50_000;

/** A stand-in's own record of what ran; the oracle reads it. */
export class WorkLog {
  private readonly records: WorkRecord[] = [];
  private startedCount = 0;
  private totalBusyMs = 0;

  /** Records that work has begun. */
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
    if (this.records.length > KEPT_RECORDS) this.records.shift();
    this.startedCount += 1;
    return record;
  }

  /** Adds upstream time to a record and to the total. */
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
