import type {Histogram} from 'hdr-histogram-js';
// The package's main module also loads its log writer, which sets up number formats and so
// delays the start of the binary.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';

// Ten minutes, with two significant digits: 1 % error in a few kilobytes, so that
// a histogram per workspace and class stays affordable.
const HIGHEST_MICROSECONDS = 600_000_000;

/** Percentiles of a histogram, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** A histogram of durations in milliseconds; percentiles are capped at ten minutes. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    bitBucketSize: 'packed',
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
  });
  private sumMs = 0;

  /** Adds one duration; percentiles count negative ones as zero. */
  recordMs(durationMs: number): void {
    const microseconds = Math.round(Math.max(0, durationMs) * 1000);
    this.histogram.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
    this.sumMs += durationMs;
  }

  /** Returns the percentile; `percent` is between 0 and 100. */
  getPercentileMs(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / 1000;
  }

  getCount(): number {
    return this.histogram.totalCount;
  }

  getSumMs(): number {
    return this.sumMs;
  }

  getSummary(): LatencySummary {
    return {
      count: this.getCount(),
      meanMs: this.getCount() === 0 ? 0 : this.sumMs / this.getCount(),
      p50Ms: this.getPercentileMs(50),
      p95Ms: this.getPercentileMs(95),
      p99Ms: this.getPercentileMs(99),
      maxMs: this.getPercentileMs(100),
    };
  }
}
