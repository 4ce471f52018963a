/** Formats rows under a head, each column as wide as its widest cell. */
export function formatTable(
  head: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const all = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  return all
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
