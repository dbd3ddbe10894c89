/** One measurement: a size and the cost at that size. */
export type Point = { size: number, cost: number }

/** A straight line through measured points. */
export type Fit = { points: Point[], base: number, slope: number }

/** Least-squares fit. A negative base is not clamped to zero: it shows that the cost is not linear in that range. */
export function fitLine (points: Point[]): Fit {
  const n = points.length
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / n
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / n
  const covariance = points.reduce((sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost), 0)
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { points, base: meanCost - slope * meanSize, slope }
}

/** Cost that the fit predicts for a size. */
export function evaluateFit (fit: Fit, size: number): number {
  return fit.base + fit.slope * size
}
