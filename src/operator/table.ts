/** Renders a text table; each column is as wide as its widest cell. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  return [headings, ...rows]
    .map(row => row.map((cell, column) => cell.padEnd(widths[column]!)))
    .map(cells => `${cells.join('  ').trimEnd()}\n`)
    .join('');
}
