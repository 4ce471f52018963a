import type {Clock} from '@hollowstack/clock';

/** Token bucket that allows `perSecond` tokens on average and `burst` at once; starts full. */
export class TokenBucket {
  private readonly clock: Clock;
  private perSecond: number;
  private burst: number;
  private tokens: number;
  private refilledAtMs: number;
  private takenCount = 0;

  constructor(clock: Clock, perSecond: number, burst: number) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAtMs = clock.getNow();
  }

  /** Takes one token; returns false if none is left. */
  acquire(): boolean {
    this.addAccruedTokens();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    this.takenCount += 1;
    return true;
  }

  /** Returns the number of tokens taken since its creation. */
  getTakenCount(): number {
    return this.takenCount;
  }

  /** Returns milliseconds until a token is available; 0 if one is. */
  getWaitMs(): number {
    this.addAccruedTokens();
    if (this.tokens >= 1) return 0;
    return ((1 - this.tokens) / this.perSecond) * 1000;
  }

  /** Sets a new rate; tokens beyond the new burst are dropped. */
  setRate(perSecond: number, burst: number): void {
    this.addAccruedTokens();
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  private addAccruedTokens(): void {
    const nowMs = this.clock.getNow();
    const accrued = ((nowMs - this.refilledAtMs) / 1000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + accrued);
    this.refilledAtMs = nowMs;
  }
}
