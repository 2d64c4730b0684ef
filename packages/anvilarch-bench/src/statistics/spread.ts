/** Median and range over a few runs, ratios within rounds, and least-squares lines. */

/** Median and range of a few values. */
export interface Spread {
  median: number
  min: number
  max: number
  count: number
}

/** A line `intercept + slope * x`. */
export interface Line {
  slope: number
  intercept: number
  /** Coefficient of determination: the share of the variance that the line explains. */
  rSquared: number
}

/**
 * @param values - at least one number
 * @returns the middle value, or the mean of the two middle values
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}

/**
 * @param values - one figure per run
 * @returns median and range of the finite values; all zero without one
 */
export function spreadOf (values: readonly number[]): Spread {
  const finite = values.filter(value => Number.isFinite(value))
  if (finite.length === 0) return { median: 0, min: 0, max: 0, count: 0 }
  return { median: median(finite), min: Math.min(...finite), max: Math.max(...finite), count: finite.length }
}

/**
 * Calculates ratios by round, since conditions on the host differ least within a round.
 *
 * @param values - one figure per round
 * @param baseline - the baseline's figure of the same rounds
 * @returns the spread of the ratios; rounds with a baseline of zero are omitted
 */
export function ratioSpread (values: readonly number[], baseline: readonly number[]): Spread {
  const ratios: number[] = []
  const rounds = Math.min(values.length, baseline.length)
  for (let round = 0; round < rounds; round++) {
    if (baseline[round] !== 0) ratios.push(values[round] / baseline[round])
  }
  return spreadOf(ratios)
}

/**
 * @param points - at least one point
 * @returns the least-squares line; horizontal through the mean when all `x` are equal
 */
export function fitLine (points: ReadonlyArray<{ x: number, y: number }>): Line {
  const meanX = mean(points.map(point => point.x))
  const meanY = mean(points.map(point => point.y))
  const varianceX = mean(points.map(point => (point.x - meanX) ** 2))
  const varianceY = mean(points.map(point => (point.y - meanY) ** 2))
  const covariance = mean(points.map(point => (point.x - meanX) * (point.y - meanY)))
  if (varianceX === 0) return { slope: 0, intercept: meanY, rSquared: 0 }
  const slope = covariance / varianceX
  const rSquared = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY)
  return { slope, intercept: meanY - slope * meanX, rSquared }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
