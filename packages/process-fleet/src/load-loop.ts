import type {CallerAnswer, SystemCaller} from '@hollowstack/local-system';

/** Counts of the outcomes of a loop's requests. */
export interface LoopCounts {
  /** Requests answered with status 200. */
  answered: number;
  /** Requests answered with any other status. */
  refused: number;
  /** Requests whose connection broke before the answer was complete. */
  interrupted: number;
}

/** A closed loop of callers; each sends its next request when it has an answer, until stopped. */
export class LoadLoop {
  readonly counts: LoopCounts = {answered: 0, refused: 0, interrupted: 0};
  /** Errors of the interrupted requests. */
  readonly failures: string[] = [];
  private readonly chooseCaller: () => SystemCaller;
  private readonly running: Array<Promise<void>>;
  private isStopped = false;

  /**
   * @param callers Number of concurrent requests.
   * @param chooseCaller Acts as the load balancer; called once per request.
   */
  constructor(callers: number, chooseCaller: () => SystemCaller) {
    this.chooseCaller = chooseCaller;
    this.running = Array.from({length: callers}, (_, index) =>
      this.runCaller(index),
    );
  }

  /** Resolves once `count` further requests have been answered with status 200. */
  async waitForAnswers(count: number): Promise<void> {
    const targetCount = this.counts.answered + count;
    while (this.counts.answered < targetCount) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }

  /** Stops sending; resolves once the requests in progress have ended. */
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
            this.counts.interrupted += 1;
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
