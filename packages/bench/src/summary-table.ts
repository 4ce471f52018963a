import type {PolicySummary, SeedStatistics} from './results.ts';

/** Formats summaries as a Markdown table, with percentages as mean (minimum-maximum). */
export function formatSummaryTable(
  summaries: readonly PolicySummary[],
): string {
  const classes = summaries[0].classes.map(summary => summary.class);
  const header = [
    'policy',
    'attainment %',
    'goodput /s',
    'wasted %',
    'ms per answer',
    ...classes.map(name => `${name} %`),
  ];
  const rows = summaries.map(summary => [
    summary.policy,
    formatPercent(summary.attainment),
    summary.goodput.mean.toFixed(1),
    formatPercent(summary.wasted),
    formatCost(summary),
    ...summary.classes.map(({attainment}) => formatPercent(attainment)),
  ]);
  return [header, header.map(() => '---'), ...rows]
    .map(row => `| ${row.join(' | ')} |`)
    .join('\n');
}

function formatPercent({mean, min, max}: SeedStatistics): string {
  const [meanText, minText, maxText] = [mean, min, max].map(value =>
    (value * 100).toFixed(1),
  );
  return `${meanText} (${minText}-${maxText})`;
}

function formatCost({costs}: PolicySummary): string {
  return costs
    .map(
      ({stage, perAttainedMs}) => `${stage} ${perAttainedMs.mean.toFixed(0)}`,
    )
    .join(', ');
}
