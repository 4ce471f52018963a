/**
 * Limits retries to a share of the requests, so that they cannot multiply the
 * load of an overloaded or failing pool.
 */
export class RetryBudget {
  private readonly share: number;
  private readonly burst: number;
  private balance: number;

  /**
   * @param share Retries allowed per request, such as 0.2.
   * @param burst Maximum number of retries that the budget can accumulate; also its initial balance.
   */
  constructor(share = 0.2, burst = 20) {
    this.share = share;
    this.burst = burst;
    this.balance = burst;
  }

  /** Adds the share of one request to the budget; called on its first attempt only. */
  recordRequest(): void {
    this.balance = Math.min(this.burst, this.balance + this.share);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  acquireRetry(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
