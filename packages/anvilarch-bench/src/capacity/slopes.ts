/** Values read from the latest results. A value that was not measured is undefined and shown as such. */
import type { ExperimentResult } from '../harness/types'
import { fitLine } from '../statistics/spread'

/** A value with its source. */
export interface Slope {
  value: number | undefined
  /** Experiment and figure, or `assumed`. */
  source: string
}

/** Results by experiment. */
export type Results = ReadonlyMap<string, ExperimentResult>

/**
 * @param results - latest results
 * @param experiment - which one
 * @param variant - which variant
 * @param figure - which figure
 * @returns the median of the figure
 */
export function measured (results: Results, experiment: string, variant: string, figure: string): Slope {
  const value = results.get(experiment)?.variants.find(candidate => candidate.name === variant)?.figures[figure]
  return { value: value === undefined || value.count === 0 ? undefined : value.median, source: `${experiment}: ${figure}` }
}

/**
 * Estimates a figure at any size by a least-squares line through the measured sizes.
 *
 * @param results - latest results
 * @param experiment - which one
 * @param setting - numeric setting that is the size
 * @param figure - which figure
 * @param size - size to estimate the figure for
 * @returns the value of the line at that size, at least 0
 */
export function lineAt (results: Results, experiment: string, setting: string, figure: string, size: number): Slope {
  const points = (results.get(experiment)?.variants ?? [])
    .filter(variant => typeof variant.settings[setting] === 'number' && (variant.figures[figure]?.count ?? 0) > 0)
    .map(variant => ({ x: Number(variant.settings[setting]), y: variant.figures[figure].median }))
  const source = `${experiment}: ${figure}, line over ${points.map(point => point.x).sort((left, right) => left - right).join(', ')} ${setting}`
  if (points.length < 2) return { value: undefined, source }
  const line = fitLine(points)
  return { value: Math.max(0, line.intercept + line.slope * size), source }
}

/**
 * @param value - a value that is neither required nor measured
 * @returns the value with the source `assumed`
 */
export function assumed (value: number): Slope {
  return { value, source: 'assumed' }
}

/**
 * @param slope - a slope
 * @param factor - how many of its unit
 * @returns the product with the same source
 */
export function times (slope: Slope, factor: number): Slope {
  return { value: slope.value === undefined ? undefined : slope.value * factor, source: slope.source }
}

/**
 * @param slopes - of the same unit
 * @returns their sum; undefined if one of them is
 */
export function sum (...slopes: Slope[]): Slope {
  const missing = slopes.some(slope => slope.value === undefined)
  const source = [...new Set(slopes.map(slope => slope.source))].join('; ')
  return { value: missing ? undefined : slopes.reduce((total, slope) => total + (slope.value ?? 0), 0), source }
}
