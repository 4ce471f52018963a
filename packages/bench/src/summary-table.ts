import type {PolicySummary, SeedStatistics} from './results.ts';

/** Formats summaries as a table in Markdown, percentages as mean (least to most). */
export function formatSummaryTable(
  summaries: readonly PolicySummary[],
): string {
  const classes = summaries[0].classes.map(summary => summary.class);
  const head = [
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
  return [head, head.map(() => '---'), ...rows]
    .map(row => `| ${row.join(' | ')} |`)
    .join('\n');
}

function formatPercent({mean, min, max}: SeedStatistics): string {
  const [middle, least, most] = [mean, min, max].map(value =>
    (value * 100).toFixed(1),
  );
  return `${middle} (${least}-${most})`;
}

function formatCost({costs}: PolicySummary): string {
  return costs
    .map(
      ({stage, perAttainedMs}) => `${stage} ${perAttainedMs.mean.toFixed(0)}`,
    )
    .join(', ');
}
