/**
 * Keeps retries to a share of the requests, so that they cannot multiply the
 * load of a pool that is in trouble.
 */
export class RetryBudget {
  private readonly share: number;
  private readonly burst: number;
  private balance: number;

  /**
   * @param share Retries allowed per request, such as 0.2.
   * @param burst Retries that may be saved up.
   */
  constructor(share = 0.2, burst = 20) {
    this.share = share;
    this.burst = burst;
    this.balance = burst;
  }

  /** Counts a request that is sent for the first time. */
  recordRequest(): void {
    this.balance = Math.min(this.burst, this.balance + this.share);
  }

  /** Takes one retry from the budget; returns false where none is left. */
  acquireRetry(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
