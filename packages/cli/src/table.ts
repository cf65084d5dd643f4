/** Aligns rows in columns; the first row is the head. */
export function formatTable (rows: ReadonlyArray<readonly string[]>): string {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, i) => { widths[i] = Math.max(widths[i] ?? 0, cell.length) })
  return rows.map((row) => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Time in ms since the Unix epoch as ISO 8601 text. */
export function formatTime (wallMs: number): string {
  return new Date(wallMs).toISOString()
}
