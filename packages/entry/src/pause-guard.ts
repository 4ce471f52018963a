import {waitFor, type Clock, type Timer} from '@hollowstack/clock';

/** Milliseconds between two ticks, which detect a pause of the process. */
const TICK_INTERVAL_MS = 500;
/** Milliseconds without a tick after which the process counts as paused. */
const PAUSE_THRESHOLD_MS = 2000;
/** Milliseconds that requests wait at most for the refresh after a pause. */
const REFRESH_TIMEOUT_MS = 500;

/**
 * Detects that the process was paused. The list of leaving upstreams is then
 * stale by the length of the pause, and is refreshed before any work is sent.
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

  /** Resolves at once, or after a pause once the list was refreshed or the refresh timed out. */
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

  // After a pause, the tick may run before the requests that were waiting. It
  // then starts the refresh instead of hiding the pause from them.
  private recordTick(): void {
    const isPaused = this.clock.getNow() - this.tickedAtMs > PAUSE_THRESHOLD_MS;
    if (isPaused) this.startRefresh();
    else if (!this.refreshing) this.tickedAtMs = this.clock.getNow();
    this.timer = this.clock.schedule(TICK_INTERVAL_MS, () => this.recordTick());
  }
}
