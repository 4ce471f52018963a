import {waitFor, type Clock, type Timer} from '@hollowstack/clock';

/**
 * Milliseconds between two ticks by which a pause of the process is noticed.
 */
const TICK_INTERVAL_MS = 500;
/**
 * Milliseconds without a tick after which the process must have stood still.
 */
const PAUSE_THRESHOLD_MS = 2000;
/** Milliseconds that requests wait for what is read again after a pause. */
const REFRESH_TIMEOUT_MS = 500;

/**
 * Notices that the process stood still. What it knows of leaving upstreams is
 * as old as the pause then, and is read again before any work is sent.
 */
export class PauseGuard {
  private readonly clock: Clock;
  private readonly refreshInstanceList: () => Promise<void>;
  private tickedAtMs: number;
  private timer: Timer | undefined;
  private refreshing: Promise<void> | undefined;

  constructor(clock: Clock, refreshInstanceList: () => Promise<void>) {
    this.clock = clock;
    this.refreshInstanceList = refreshInstanceList;
    this.tickedAtMs = clock.getNow();
  }

  start(): void {
    this.recordTick();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Resolves at once, or after a pause once what is known was read again. */
  async waitUntilFresh(): Promise<void> {
    const isPaused = this.clock.getNow() - this.tickedAtMs > PAUSE_THRESHOLD_MS;
    if (isPaused && this.timer !== undefined) this.startRefresh();
    if (this.refreshing) await this.refreshing;
  }

  private startRefresh(): void {
    this.refreshing ??= Promise.race([
      this.refreshInstanceList(),
      waitFor(this.clock, REFRESH_TIMEOUT_MS),
    ]).finally(() => {
      this.tickedAtMs = this.clock.getNow();
      this.refreshing = undefined;
    });
  }

  // The tick after a pause may come before the work that waits behind it.
  private recordTick(): void {
    const isPaused = this.clock.getNow() - this.tickedAtMs > PAUSE_THRESHOLD_MS;
    if (isPaused) this.startRefresh();
    else if (!this.refreshing) this.tickedAtMs = this.clock.getNow();
    this.timer = this.clock.schedule(TICK_INTERVAL_MS, () => this.recordTick());
  }
}
