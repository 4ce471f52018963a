import type {Clock, Timer} from '@hollowstack/clock';

interface Job {
  readonly priority: number;
  readonly order: number;
  readonly durationMs: number;
  readonly finish: () => void;
  readonly begin: () => void;
}

/** Handle to a queued or running job. */
export interface SlotJob {
  /** Removes the job, whether it is queued or running; its `finish` is not called. */
  cancel(): void;
}

/** Runs jobs in a fixed number of slots, ordered by priority, then arrival. */
export class SlotQueue {
  private readonly clock: Clock;
  private readonly slotCount: number;
  private readonly queued: Job[] = [];
  private readonly running = new Map<Job, Timer>();
  private nextOrder = 0;

  constructor(clock: Clock, slotCount: number) {
    this.clock = clock;
    this.slotCount = slotCount;
  }

  getRunningCount(): number {
    return this.running.size;
  }

  getQueuedCount(): number {
    return this.queued.length;
  }

  /** Queues a job; `begin` is called when it starts, `finish` when it completes. */
  addJob(
    priority: number,
    durationMs: number,
    begin: () => void,
    finish: () => void,
  ): SlotJob {
    const job: Job = {
      priority,
      order: this.nextOrder++,
      durationMs,
      begin,
      finish,
    };
    this.queued.push(job);
    this.queued.sort(compareJobs);
    this.startJobs();
    return {cancel: () => this.cancelJob(job)};
  }

  private startJobs(): void {
    while (this.running.size < this.slotCount && this.queued.length > 0) {
      const job = this.queued.shift()!;
      job.begin();
      const timer = this.clock.schedule(job.durationMs, () => {
        this.running.delete(job);
        job.finish();
        this.startJobs();
      });
      this.running.set(job, timer);
    }
  }

  private cancelJob(job: Job): void {
    const index = this.queued.indexOf(job);
    if (index >= 0) this.queued.splice(index, 1);
    this.running.get(job)?.cancel();
    this.running.delete(job);
    this.startJobs();
  }
}

function compareJobs(left: Job, right: Job): number {
  return left.priority - right.priority || left.order - right.order;
}
