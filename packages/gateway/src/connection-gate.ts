import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import {
  TurnQueue,
  type LoadMeter,
  type WaitLimits,
} from '@hollowstack/overload';
import type {Socket} from 'node:net';

/** Dependencies of ConnectionGate. */
export interface ConnectionGateParts {
  readonly clock: Clock;
  readonly logger: Pick<EventLogger, 'logEvent'>;
  readonly metrics: MetricsRegistry;
  readonly loadMeter: Pick<LoadMeter, 'addListener' | 'getLogFields'>;
}

/**
 * How long connections wait until they are read. A caller whose connection is closed tries
 * another instance within a round trip, but it may try only once.
 */
const WAIT_LIMITS: WaitLimits = {
  burstMs: 400,
  standingMs: 100,
  standingAfterMs: 500,
  overdueMs: 900,
};
/** Milliseconds between two log lines while connections are rejected. */
const LOG_INTERVAL_MS = 1000;
/** Milliseconds without a rejection after which the instance counts as able to serve all. */
const CALM_MS = 2000;

/**
 * Decides when the first request of a connection is read. Connections that would wait too long
 * are closed unread, which tells their callers that the request was not run.
 */
export class ConnectionGate {
  private readonly parts: ConnectionGateParts;
  private readonly queue: TurnQueue;
  private readonly admitted = new WeakSet<Socket>();
  private unloggedCount = 0;
  private rejectedCount = 0;
  private rejectingSinceMs: number | undefined;
  private rejectedAtMs = 0;
  private loggedAtMs = 0;

  constructor(parts: ConnectionGateParts) {
    this.parts = parts;
    const {clock, metrics, loadMeter} = parts;
    this.queue = new TurnQueue({
      clock,
      scheduleTurnEnd: callback => setImmediate(callback),
      limits: WAIT_LIMITS,
    });
    metrics.setGauge(
      'hollowstack_connections_waiting',
      {},
      () => this.queue.getState().waitingCount,
    );
    loadMeter.addListener(() => this.logRejections());
  }

  /** Takes a paused connection; it is resumed once its first request may be read. */
  addConnection(socket: Socket): void {
    this.queue.add({
      begin: () => {
        this.countConnection('admitted');
        socket.resume();
      },
      reject: () => this.rejectConnection(socket),
    });
  }

  /** Records the begin of a request; those after the first one of a connection do not wait. */
  recordRequest(socket: Socket): void {
    if (this.admitted.has(socket)) this.queue.recordArrival();
    else this.admitted.add(socket);
  }

  private rejectConnection(socket: Socket): void {
    this.countConnection('rejected');
    const nowMs = this.parts.clock.getNow();
    this.rejectingSinceMs ??= nowMs;
    this.rejectedAtMs = nowMs;
    this.unloggedCount += 1;
    this.rejectedCount += 1;
    socket.destroy();
  }

  private countConnection(outcome: string): void {
    this.parts.metrics.addToCounter('hollowstack_connections_total', {outcome});
  }

  private logRejections(): void {
    const {clock, logger, loadMeter} = this.parts;
    if (this.rejectingSinceMs === undefined) return;
    const nowMs = clock.getNow();
    if (this.unloggedCount > 0 && nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
      const {waitingCount, intervalMs} = this.queue.getState();
      logger.logEvent('entry.connections-rejected', {
        count: this.unloggedCount,
        waitingCount,
        intervalMs: Math.round(intervalMs),
        ...loadMeter.getLogFields(),
      });
      this.unloggedCount = 0;
      this.loggedAtMs = nowMs;
    }
    if (nowMs - this.rejectedAtMs < CALM_MS) return;
    logger.logEvent('entry.connections-admitted', {
      count: this.rejectedCount,
      forMs: Math.round(this.rejectedAtMs - this.rejectingSinceMs),
      ...loadMeter.getLogFields(),
    });
    this.rejectingSinceMs = undefined;
    this.rejectedCount = 0;
  }
}
