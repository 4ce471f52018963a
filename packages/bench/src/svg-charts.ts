/** One line of a line chart. */
export interface Line {
  readonly label: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** One stacked bar of a bar chart. */
export interface Bar {
  readonly label: string;
  readonly parts: ReadonlyArray<{
    readonly label: string;
    readonly value: number;
  }>;
}

const COLORS = [
  '#1b6ca8',
  '#d1495b',
  '#66a182',
  '#edae49',
  '#7d5ba6',
  '#3d5a80',
  '#8d6a4f',
  '#999999',
];
const WIDTH = 860;
const HEIGHT = 280;
const LEFT = 50;
const RIGHT = 150;
const BOTTOM = 30;
const TOP = 10;
const TICK_COUNT = 5;
const BAR_HEIGHT = 24;

/** Renders a line chart as SVG; both axes start at zero. */
export function renderLineChart(
  lines: readonly Line[],
  xLabel: string,
  yLabel: string,
): string {
  const xs = lines.flatMap(({points}) => points.map(({x}) => x));
  const ys = lines.flatMap(({points}) => points.map(({y}) => y));
  const scaleX = createScale(Math.max(...xs), LEFT, WIDTH - RIGHT);
  const scaleY = createScale(Math.max(...ys), HEIGHT - BOTTOM, TOP);
  const paths = lines.map(({label, points}, index) => {
    const path = points
      .map(({x, y}) => `${scaleX(x).toFixed(1)},${scaleY(y).toFixed(1)}`)
      .join(' ');
    const color = COLORS[index % COLORS.length];
    const y = TOP + 14 + index * 18;
    return `<polyline fill="none" stroke="${color}" stroke-width="1.8" points="${path}"/><text x="${WIDTH - RIGHT + 12}" y="${y}" fill="${color}">${label}</text>`;
  });
  return renderSvg(HEIGHT, [
    ...renderTicks(Math.max(...ys), scaleY),
    `<text x="${WIDTH - RIGHT}" y="${HEIGHT - 8}" text-anchor="end">${xLabel}, 0 to ${Math.max(...xs).toFixed(0)}</text>`,
    `<text x="${LEFT}" y="${HEIGHT - 8}">${yLabel}</text>`,
    ...paths,
  ]);
}

/** Renders horizontal stacked bars as SVG. */
export function renderBarChart(bars: readonly Bar[], unit: string): string {
  const totals = bars.map(({parts}) =>
    parts.reduce((sum, {value}) => sum + value, 0),
  );
  const scale = createScale(Math.max(1, ...totals), 0, WIDTH - RIGHT - RIGHT);
  const rows = bars.map((bar, row) => {
    let x = RIGHT;
    const y = TOP + row * (BAR_HEIGHT + 8);
    const parts = bar.parts.map(({value}, index) => {
      const rectangle = `<rect x="${x.toFixed(1)}" y="${y}" width="${scale(value).toFixed(1)}" height="${BAR_HEIGHT}" fill="${COLORS[index % COLORS.length]}"/>`;
      x += scale(value);
      return rectangle;
    });
    return `<text x="${RIGHT - 8}" y="${y + 17}" text-anchor="end">${bar.label}</text>${parts.join('')}<text x="${x + 6}" y="${y + 17}">${totals[row].toFixed(0)} ${unit}</text>`;
  });
  const legendY = TOP + bars.length * (BAR_HEIGHT + 8) + 16;
  const legend = (bars[0]?.parts ?? []).map(
    ({label}, index) =>
      `<text x="${RIGHT + index * 90}" y="${legendY}" fill="${COLORS[index % COLORS.length]}">${label}</text>`,
  );
  return renderSvg(legendY + 10, [...rows, ...legend]);
}

function renderTicks(max: number, scale: (value: number) => number): string[] {
  return Array.from({length: TICK_COUNT + 1}, (_, index) => {
    const value = (max * index) / TICK_COUNT;
    const y = scale(value).toFixed(1);
    return `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}" stroke="#e5e5e5"/><text x="${LEFT - 6}" y="${y}" text-anchor="end" dominant-baseline="middle">${value.toFixed(0)}</text>`;
  });
}

function createScale(
  max: number,
  from: number,
  to: number,
): (value: number) => number {
  return value => from + ((to - from) * value) / (max || 1);
}

function renderSvg(height: number, content: readonly string[]): string {
  return `<svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" height="${height}" font-size="12" font-family="system-ui, sans-serif">${content.join('')}</svg>`;
}
