/** Latency histograms, counters and gauges, rendered in the Prometheus text format. */
export {MetricsRegistry, type MetricLabels} from './registry.ts';
export {LatencyHistogram, type LatencySummary} from './latency-histogram.ts';
