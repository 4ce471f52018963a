import {LatencyHistogram} from './latency-histogram.ts';

/** Labels of one series, by name. */
export type MetricLabels = Readonly<Record<string, string>>;

interface Series<Value> {
  readonly name: string;
  readonly labels: MetricLabels;
  value: Value;
}

const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;

/** The counters, gauges and histograms of one instance. */
export class MetricsRegistry {
  private readonly counters = new Map<string, Series<number>>();
  private readonly gauges = new Map<string, Series<() => number>>();
  private readonly histograms = new Map<string, Series<LatencyHistogram>>();

  /** Adds to a counter, which starts at zero. */
  addToCounter(name: string, labels: MetricLabels = {}, amount = 1): void {
    const key = formatSeries(name, labels);
    const series = this.counters.get(key);
    if (series) series.value += amount;
    else this.counters.set(key, {name, labels, value: amount});
  }

  /** Returns a counter's value; zero if nothing was counted. */
  getCounter(name: string, labels: MetricLabels = {}): number {
    return this.counters.get(formatSeries(name, labels))?.value ?? 0;
  }

  /** Sets the function that returns a gauge's value when the metrics are rendered. */
  setGauge(name: string, labels: MetricLabels, readValue: () => number): void {
    this.gauges.set(formatSeries(name, labels), {
      name,
      labels,
      value: readValue,
    });
  }

  /** Adds a duration in milliseconds to a histogram. */
  recordLatency(name: string, labels: MetricLabels, durationMs: number): void {
    const key = formatSeries(name, labels);
    let series = this.histograms.get(key);
    if (!series) {
      series = {name, labels, value: new LatencyHistogram()};
      this.histograms.set(key, series);
    }
    series.value.recordMs(durationMs);
  }

  /** Returns all histograms of a name with their labels. */
  listHistograms(
    name: string,
  ): ReadonlyArray<{labels: MetricLabels; histogram: LatencyHistogram}> {
    return [...this.histograms.values()]
      .filter(series => series.name === name)
      .map(series => ({labels: series.labels, histogram: series.value}));
  }

  /** Renders all metrics in the Prometheus text format; durations are in seconds. */
  renderPrometheusText(): string {
    const lines: string[] = [];
    renderFamilies(lines, this.counters, 'counter', renderNumber);
    renderFamilies(lines, this.gauges, 'gauge', series => [
      `${formatSeries(series.name, series.labels)} ${series.value()}`,
    ]);
    renderFamilies(lines, this.histograms, 'summary', renderHistogram);
    return lines.join('\n') + '\n';
  }
}

function renderFamilies<Value>(
  lines: string[],
  seriesByKey: ReadonlyMap<string, Series<Value>>,
  type: string,
  renderSeries: (series: Series<Value>) => string[],
): void {
  const sorted = [...seriesByKey.values()].sort((left, right) =>
    left.name < right.name ? -1 : left.name > right.name ? 1 : 0,
  );
  let lastName = '';
  for (const series of sorted) {
    if (series.name !== lastName) lines.push(`# TYPE ${series.name} ${type}`);
    lastName = series.name;
    lines.push(...renderSeries(series));
  }
}

function renderNumber(series: Series<number>): string[] {
  return [`${formatSeries(series.name, series.labels)} ${series.value}`];
}

function renderHistogram(series: Series<LatencyHistogram>): string[] {
  const {name, labels, value} = series;
  const quantiles = QUANTILES.map(quantile => {
    const seconds = value.getPercentileMs(quantile * 100) / 1000;
    const key = formatSeries(name, {...labels, quantile: String(quantile)});
    return `${key} ${seconds}`;
  });
  const sum = `${formatSeries(`${name}_sum`, labels)} ${value.getSumMs() / 1000}`;
  const count = `${formatSeries(`${name}_count`, labels)} ${value.getCount()}`;
  return [...quantiles, sum, count];
}

function formatSeries(name: string, labels: MetricLabels): string {
  const names = Object.keys(labels);
  if (names.length === 0) return name;
  const pairs = names.map(label => `${label}="${encodeLabel(labels[label])}"`);
  return `${name}{${pairs.join(',')}}`;
}

function encodeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
