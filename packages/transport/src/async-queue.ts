/** An unbounded queue with one reader, which iterates over the items. */
export class AsyncQueue<Item> implements AsyncIterable<Item> {
  private readonly items: Item[] = [];
  private isEnded = false;
  private failure: unknown;
  private wakeReader: (() => void) | undefined;
  private readonly onReturn: (() => void) | undefined;

  /** @param onReturn Called if the reader stops before the end. */
  constructor(onReturn?: () => void) {
    this.onReturn = onReturn;
  }

  /** Adds an item; ignored once the queue has ended. */
  push(item: Item): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.resumeReader();
  }

  /** Ends the queue; the reader still gets the remaining items. */
  end(): void {
    this.isEnded = true;
    this.resumeReader();
  }

  /** Ends the queue with an error, which the reader gets after the remaining items. */
  fail(error: unknown): void {
    if (this.isEnded) return;
    this.failure = error;
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Item> {
    let isFinished = false;
    try {
      while (true) {
        while (this.items.length > 0) yield this.items.shift()!;
        if (this.isEnded) break;
        await new Promise<void>(resolve => (this.wakeReader = resolve));
      }
      isFinished = true;
      if (this.failure !== undefined) throw this.failure;
    } finally {
      if (!isFinished) this.onReturn?.();
    }
  }

  private resumeReader(): void {
    this.wakeReader?.();
    this.wakeReader = undefined;
  }
}
