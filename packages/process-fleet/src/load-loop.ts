import type {CallerAnswer, SystemCaller} from '@hollowstack/local-system';

/** Counts of what callers of a loop were told. */
export interface LoopCounts {
  answered: number;
  refused: number;
  /** Requests whose connection broke before a whole answer. */
  cut: number;
}

/** Callers that send one request after the other until stopped. */
export class LoadLoop {
  readonly counts: LoopCounts = {answered: 0, refused: 0, cut: 0};
  /** What callers of cut requests saw. */
  readonly failures: string[] = [];
  private readonly chooseCaller: () => SystemCaller;
  private readonly running: Array<Promise<void>>;
  private isStopped = false;

  /**
   * @param callers Requests in progress at a time.
   * @param chooseCaller Stands for the balancer; called once a request.
   */
  constructor(callers: number, chooseCaller: () => SystemCaller) {
    this.chooseCaller = chooseCaller;
    this.running = Array.from({length: callers}, (_, index) =>
      this.runCaller(index),
    );
  }

  /** Resolves once so many more requests were answered. */
  async waitForAnswers(count: number): Promise<void> {
    const wanted = this.counts.answered + count;
    while (this.counts.answered < wanted) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }

  /** Lets the requests in progress end and sends no more. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.running);
  }

  private async runCaller(index: number): Promise<void> {
    for (let number = 0; !this.isStopped; number++) {
      const input = `load ${index} ${number}`;
      await this.chooseCaller()
        .runPipeline('lima-centro', 'chat', input)
        .then(
          answer => this.recordAnswer(answer),
          (error: unknown) => {
            this.counts.cut += 1;
            this.failures.push(String(error));
          },
        );
    }
  }

  private recordAnswer(answer: CallerAnswer): void {
    if (answer.status === 200) this.counts.answered += 1;
    else this.counts.refused += 1;
  }
}
