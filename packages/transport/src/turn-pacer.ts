/** Lets one of its waiters go on in each turn of the event loop, in the order of their arrival. */
export class TurnPacer {
  private readonly waiting: Array<() => void> = [];

  /** Resolves in a later turn of the event loop. */
  waitForTurn(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      if (this.waiting.length === 1) this.scheduleTurn();
    });
  }

  private scheduleTurn(): void {
    setImmediate(() => {
      this.waiting.shift()?.();
      if (this.waiting.length > 0) this.scheduleTurn();
    });
  }
}
