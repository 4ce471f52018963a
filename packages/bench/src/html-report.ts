import {
  isAttained,
  type PolicySummary,
  type RunResult,
  type SeedStatistics,
} from './results.ts';
import type {Scenario} from './scenario.ts';
import {renderBarChart, renderLineChart, type Line} from './svg-charts.ts';

const BUCKET_COUNT = 40;

/** Renders a self-contained HTML page with charts. */
export function renderHtmlReport(
  scenario: Scenario,
  runs: readonly RunResult[],
  summaries: readonly PolicySummary[],
): string {
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>hollowstack: ${encodeHtml(scenario.name)}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #222; }
table { border-collapse: collapse; } td, th { padding: .2rem .7rem; text-align: right; border-bottom: 1px solid #ddd; }
td:first-child, th:first-child { text-align: left; } h2 { margin-top: 2rem; }
</style>
<h1>${encodeHtml(scenario.name)}</h1>
<p>${encodeHtml(scenario.description)}</p>
<p>${scenario.instances} entry instances, load ${scenario.load}, ${scenario.durationMs / 1000} s measured, seeds ${scenario.seeds.join(', ')}.</p>
<h2>Summary</h2>
${renderSummary(summaries)}
<h2>Attainment over time</h2>
${renderLineChart(createAttainmentLines(runs, scenario.durationMs), 'seconds', 'attained %')}
<h2>Latency of answers by class</h2>
${renderLatencies(summaries)}
<h2>Upstream time by stage for each answer in time</h2>
${renderBarChart(
  summaries.map(({policy, costs}) => ({
    label: policy,
    parts: costs.map(({stage, perAttainedMs}) => ({
      label: stage,
      value: perAttainedMs.mean,
    })),
  })),
  'ms',
)}
</html>
`;
}

function renderSummary(summaries: readonly PolicySummary[]): string {
  const rows = summaries.map(
    ({policy, requests, attainment, goodput, wasted}) =>
      `<tr><td>${policy}</td><td>${requests}</td><td>${formatStatistics(attainment)}</td><td>${goodput.mean.toFixed(1)}</td><td>${formatStatistics(wasted)}</td></tr>`,
  );
  return `<table><tr><th>policy</th><th>requests</th><th>attainment %</th><th>goodput /s</th><th>wasted %</th></tr>${rows.join('')}</table>`;
}

function renderLatencies(summaries: readonly PolicySummary[]): string {
  const rows = summaries.flatMap(({policy, classes}) =>
    classes.map(
      summary =>
        `<tr><td>${policy}</td><td>${encodeHtml(summary.class)}</td><td>${formatStatistics(summary.attainment)}</td><td>${summary.p50Ms.toFixed(0)}</td><td>${summary.p95Ms.toFixed(0)}</td><td>${summary.p99Ms.toFixed(0)}</td></tr>`,
    ),
  );
  return `<table><tr><th>policy</th><th>class</th><th>attainment %</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th></tr>${rows.join('')}</table>`;
}

function createAttainmentLines(
  runs: readonly RunResult[],
  durationMs: number,
): Line[] {
  const policies = [...new Set(runs.map(({policy}) => policy))];
  const bucketMs = durationMs / BUCKET_COUNT;
  return policies.map(policy => {
    const requests = runs
      .filter(run => run.policy === policy)
      .flatMap(run => run.requests);
    const points = Array.from({length: BUCKET_COUNT}, (_, bucket) => {
      const bucketRequests = requests.filter(
        ({atMs}) => Math.floor(atMs / bucketMs) === bucket,
      );
      const attained = bucketRequests.filter(isAttained).length;
      const share =
        bucketRequests.length === 0 ? 1 : attained / bucketRequests.length;
      return {x: ((bucket + 0.5) * bucketMs) / 1000, y: share * 100};
    });
    return {label: policy, points};
  });
}

function formatStatistics({mean, min, max}: SeedStatistics): string {
  const [meanText, minText, maxText] = [mean, min, max].map(value =>
    (value * 100).toFixed(1),
  );
  return `${meanText} <small>(${minText}-${maxText})</small>`;
}

function encodeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
