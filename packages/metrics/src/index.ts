/** Latency histograms and counters, and their exposition as Prometheus text. */
export {MetricsRegistry, type MetricLabels} from './registry.ts';
export {LatencyHistogram, type LatencySummary} from './latency-histogram.ts';
