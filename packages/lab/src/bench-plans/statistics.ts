/** Linear fit (regression) of a figure over the number of nodes. */
export type LinearFit = { atZero: number, perNode: number }

/** Rounds to four decimals. */
export function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}

/** The value that `p` percent of the values don't exceed; NaN without values. */
export function percentile (values: readonly number[], p: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.max(0, Math.ceil(sorted.length * p / 100) - 1)] ?? NaN
}

/** Least squares fit; undefined with fewer than two different sizes. */
export function fitLine (points: ReadonlyArray<{ nodes: number, value: number }>): LinearFit | undefined {
  const n = points.length
  const meanX = points.reduce((sum, point) => sum + point.nodes, 0) / n
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / n
  const squaredDeviations = points.reduce((sum, point) => sum + (point.nodes - meanX) ** 2, 0)
  if (n < 2 || squaredDeviations === 0) return undefined
  const perNode = points.reduce((sum, point) => sum + (point.nodes - meanX) * (point.value - meanY), 0) / squaredDeviations
  return { atZero: meanY - perNode * meanX, perNode }
}
