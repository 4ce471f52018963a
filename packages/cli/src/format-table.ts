/** Formats rows under a header, with each column as wide as its widest cell. */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map(row => row[column].length)),
  );
  return allRows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
