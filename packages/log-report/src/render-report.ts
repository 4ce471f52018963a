import type {LogReport, ReasonRow, RouteRow, ServiceRow} from './log-report.ts';

/** Maximum number of reasons shown; the most frequent ones come first. */
const MAX_REASONS = 12;

/** Renders the summary tables of a log as text. */
export function renderReport(report: LogReport): string {
  const lines = [`${report.requestCount} requests`];
  if (report.unreadableCount > 0) {
    lines.push(`unreadable lines, left out: ${report.unreadableCount}`);
  }
  lines.push('', ...renderRoutes(report.routes));
  lines.push('', ...renderReasons(report.reasons));
  lines.push('', ...renderServices(report.services));
  return lines.join('\n');
}

function renderRoutes(rows: readonly RouteRow[]): string[] {
  return renderTable(
    ['route', 'from s', 'in time', 'late', 'refused', 'failed'],
    rows.map(row => [
      row.route,
      row.fromSecond,
      row.inTime,
      row.late,
      row.refused,
      row.failed,
    ]),
  );
}

function renderReasons(rows: readonly ReasonRow[]): string[] {
  return renderTable(
    ['count', 'route', 'outcome', 'reason'],
    rows
      .slice(0, MAX_REASONS)
      .map(({count, route, outcome, reason}) => [
        count,
        route,
        outcome,
        reason,
      ]),
  );
}

function renderServices(rows: readonly ServiceRow[]): string[] {
  return renderTable(
    [
      'stage service',
      'from s',
      'calls',
      'items',
      'busy upstreams',
      'no room',
      'input gone',
    ],
    rows.map(row => [
      row.service,
      row.fromSecond,
      row.calls,
      row.items,
      row.busyUpstreams.toFixed(2),
      row.noRoom,
      row.inputGone,
    ]),
  );
}

function renderTable(
  titles: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string[] {
  const cells = [titles, ...rows.map(row => row.map(String))];
  const widths = titles.map((_, column) =>
    Math.max(...cells.map(row => row[column].length)),
  );
  return cells.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
}
