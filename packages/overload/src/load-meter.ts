import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {Traffic, TrafficCounter} from './traffic-counter.ts';

/** Dependencies of LoadMeter. */
export interface LoadMeterParts {
  readonly clock: Clock;
  readonly logger: Pick<EventLogger, 'logEvent'>;
  readonly metrics: MetricsRegistry;
  readonly traffic: Pick<TrafficCounter, 'getTraffic'>;
  /** Share of a core that the process has. */
  readonly cpuShare: number;
  /** Returns the milliseconds of processor time that the process has used so far. */
  readonly readProcessorMs: () => number;
  /** Returns the milliseconds for which the event loop has had nothing to do so far. */
  readonly readIdleMs: () => number;
  /** Returns the number of requests in progress. */
  readonly countInProgress: () => number;
}

/** Load of the process over the last window. */
export interface LoadState {
  /** Mean milliseconds by which timers ran late. */
  readonly delayMs: number;
  /**
   * Part of the time in which the event loop had work to do. At 1, connections wait to be
   * accepted, though timers may run on time: each turn of the loop accepts only one.
   */
  readonly loopUse: number;
  /** Used part of the process's share of a core; 1 if all of it. */
  readonly processorUse: number;
  readonly receivedBytesPerSecond: number;
  readonly sentBytesPerSecond: number;
}

interface Sample {
  readonly atMs: number;
  readonly delayMs: number;
  readonly processorMs: number;
  readonly idleMs: number;
  readonly traffic: Traffic;
}

const SAMPLE_INTERVAL_MS = 250;
/** Number of samples in a window of one second. */
const WINDOW_SAMPLES = 4;
/** Use of the event loop from which it counts as saturated. */
const SATURATED_USE = 0.98;
/** Use of the event loop below which it no longer counts as saturated. */
const UNSATURATED_USE = 0.9;

/**
 * Measures the load of the process: the use and delay of the event loop, and the use of the
 * processor and of the network.
 */
export class LoadMeter {
  private readonly parts: LoadMeterParts;
  private readonly listeners: Array<(delayMs: number) => void> = [];
  private samples: Sample[] = [];
  private timer: Timer | undefined;
  private dueAtMs = 0;
  private saturatedSinceMs: number | undefined;

  constructor(parts: LoadMeterParts) {
    this.parts = parts;
    const {metrics, traffic, readProcessorMs} = parts;
    metrics.setGauge(
      'hollowstack_processor_use',
      {},
      () => this.getState().processorUse,
    );
    metrics.setGauge(
      'hollowstack_event_loop_use',
      {},
      () => this.getState().loopUse,
    );
    metrics.setGauge(
      'process_cpu_seconds_total',
      {},
      () => readProcessorMs() / 1000,
    );
    metrics.setGauge(
      'hollowstack_transferred_bytes',
      {direction: 'received'},
      () => traffic.getTraffic().receivedBytes,
    );
    metrics.setGauge(
      'hollowstack_transferred_bytes',
      {direction: 'sent'},
      () => traffic.getTraffic().sentBytes,
    );
  }

  /** Adds a function that is called four times a second with the delay of the event loop. */
  addListener(listener: (delayMs: number) => void): void {
    this.listeners.push(listener);
  }

  start(): void {
    this.samples = [this.createSample(0)];
    this.scheduleSample();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Returns the load over the last second. */
  getState(): LoadState {
    const first = this.samples.at(0);
    const last = this.samples.at(-1);
    const passedMs = first && last ? last.atMs - first.atMs : 0;
    if (!first || !last || passedMs <= 0) {
      return {
        delayMs: 0,
        loopUse: 0,
        processorUse: 0,
        receivedBytesPerSecond: 0,
        sentBytesPerSecond: 0,
      };
    }
    const counted = this.samples.slice(1);
    const computeRate = (before: number, after: number) =>
      Math.round(((after - before) * 1000) / passedMs);
    const usedMs = last.processorMs - first.processorMs;
    const idleMs = last.idleMs - first.idleMs;
    return {
      delayMs:
        counted.reduce((sum, {delayMs}) => sum + delayMs, 0) / counted.length,
      loopUse: Math.max(0, 1 - idleMs / passedMs),
      processorUse: usedMs / passedMs / this.parts.cpuShare,
      receivedBytesPerSecond: computeRate(
        first.traffic.receivedBytes,
        last.traffic.receivedBytes,
      ),
      sentBytesPerSecond: computeRate(
        first.traffic.sentBytes,
        last.traffic.sentBytes,
      ),
    };
  }

  /** Returns the load as fields of a log line. */
  getLogFields(): Record<string, number> {
    const state = this.getState();
    return {
      loopUse: Number(state.loopUse.toFixed(2)),
      delayMs: Math.round(state.delayMs),
      processorUse: Number(state.processorUse.toFixed(2)),
      receivedBytesPerSecond: state.receivedBytesPerSecond,
      sentBytesPerSecond: state.sentBytesPerSecond,
      inProgress: this.parts.countInProgress(),
    };
  }

  private scheduleSample(): void {
    const {clock} = this.parts;
    this.dueAtMs = clock.getNow() + SAMPLE_INTERVAL_MS;
    this.timer = clock.schedule(SAMPLE_INTERVAL_MS, () => this.recordSample());
  }

  private recordSample(): void {
    const {clock, metrics} = this.parts;
    const delayMs = Math.max(0, clock.getNow() - this.dueAtMs);
    metrics.recordLatency('hollowstack_event_loop_delay_seconds', {}, delayMs);
    this.samples.push(this.createSample(delayMs));
    if (this.samples.length > WINDOW_SAMPLES + 1) this.samples.shift();
    this.logChange();
    this.scheduleSample();
    for (const listener of this.listeners) listener(delayMs);
  }

  private createSample(delayMs: number): Sample {
    const {clock, readProcessorMs, readIdleMs, traffic} = this.parts;
    return {
      atMs: clock.getNow(),
      delayMs,
      processorMs: readProcessorMs(),
      idleMs: readIdleMs(),
      traffic: traffic.getTraffic(),
    };
  }

  private logChange(): void {
    const {clock, logger} = this.parts;
    if (this.samples.length <= WINDOW_SAMPLES) return;
    const {loopUse} = this.getState();
    if (this.saturatedSinceMs === undefined && loopUse >= SATURATED_USE) {
      this.saturatedSinceMs = clock.getNow();
      logger.logEvent('entry.saturated', this.getLogFields());
    } else if (
      this.saturatedSinceMs !== undefined &&
      loopUse < UNSATURATED_USE
    ) {
      logger.logEvent('entry.unsaturated', {
        ...this.getLogFields(),
        saturatedForMs: Math.round(clock.getNow() - this.saturatedSinceMs),
      });
      this.saturatedSinceMs = undefined;
    }
  }
}
