/** Linear fit (regression) of measured points. */
export type LinearFit = { slope: number, intercept: number, at: (x: number) => number }

/** Least squares fit; a single point gives a line of slope 0. */
export function fitLine (points: Array<{ x: number, y: number }>): LinearFit {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const squaredDeviations = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = squaredDeviations === 0 ? 0 : points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / squaredDeviations
  const intercept = meanY - slope * meanX
  return { slope, intercept, at: (x) => intercept + slope * x }
}
