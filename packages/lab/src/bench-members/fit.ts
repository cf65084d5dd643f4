/** Straight line through measured points. */
export type Line = { slope: number, intercept: number, at: (x: number) => number }

/** Least squares fit; a single point gives a flat line. */
export function fitLine (points: Array<{ x: number, y: number }>): Line {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = spread === 0 ? 0 : points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / spread
  const intercept = meanY - slope * meanX
  return { slope, intercept, at: (x) => intercept + slope * x }
}
