/** Formats rows as columns of text; the first row is the header. Numbers are aligned to the right. */
export function formatTable (rows: Array<Array<string | number>>): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => String(row[column] ?? '').length)))
  const lines = rows.map((row) => row.map((cell, column) =>
    typeof cell === 'number' ? String(cell).padStart(widths[column]!) : cell.padEnd(widths[column]!)).join('  ').trimEnd())
  return [lines[0], widths.map((width) => '-'.repeat(width)).join('  '), ...lines.slice(1)].join('\n')
}

/** Rounds to `digits` decimals. */
export function rounded (value: number, digits = 1): number {
  return Math.round(value * 10 ** digits) / 10 ** digits
}
