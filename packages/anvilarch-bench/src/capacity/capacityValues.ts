/** Values read from the latest results. A value that was not measured is undefined and shown as such. */
import type { ExperimentResult } from '../harness/types'
import { fitLine } from '../statistics/spread'

/** A value with its source. */
export interface CapacityValue {
  value: number | undefined
  /** Experiment and figure, or `assumed`. */
  source: string
}

/** Results by experiment. */
export type Results = ReadonlyMap<string, ExperimentResult>

/**
 * @param results - latest results
 * @param experiment - name of the experiment
 * @param variant - name of the variant
 * @param figure - name of the figure
 * @returns the median of the figure
 */
export function measured (results: Results, experiment: string, variant: string, figure: string): CapacityValue {
  const value = results.get(experiment)?.variants.find(candidate => candidate.name === variant)?.figures[figure]
  return { value: value === undefined || value.count === 0 ? undefined : value.median, source: `${experiment}: ${figure}` }
}

/**
 * Estimates a figure at any size by a least-squares line through the measured sizes.
 *
 * @param results - latest results
 * @param experiment - name of the experiment
 * @param setting - numeric setting that is the size
 * @param figure - name of the figure
 * @param size - size to estimate the figure for
 * @returns the value of the line at that size, at least 0
 */
export function estimateAt (results: Results, experiment: string, setting: string, figure: string, size: number): CapacityValue {
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
export function assumed (value: number): CapacityValue {
  return { value, source: 'assumed' }
}

/**
 * @param base - value of one unit
 * @param factor - number of units
 * @returns the product with the same source
 */
export function times (base: CapacityValue, factor: number): CapacityValue {
  return { value: base.value === undefined ? undefined : base.value * factor, source: base.source }
}

/**
 * @param values - values of the same unit
 * @returns their sum; undefined if one of them is
 */
export function sum (...values: CapacityValue[]): CapacityValue {
  const missing = values.some(one => one.value === undefined)
  const source = [...new Set(values.map(one => one.source))].join('; ')
  return { value: missing ? undefined : values.reduce((total, one) => total + (one.value ?? 0), 0), source }
}
