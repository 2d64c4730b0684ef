/** Calculates medians, ratios and verdicts from the runs of an experiment. */
import { ratioSpread, spreadOf } from '../statistics/spread'
import type { Aim, AimResult, FigureSummary, RecordedRun, VariantResult } from './types'

/**
 * @param runs - runs of a variant
 * @param baseline - runs of the baseline; undefined for the baseline itself
 * @returns the summary of each figure over all rounds
 */
export function summariseFigures (runs: readonly RecordedRun[], baseline?: readonly RecordedRun[]): Record<string, FigureSummary> {
  const names = new Set(runs.flatMap(run => Object.keys(run.figures)))
  const summaries: Record<string, FigureSummary> = {}
  for (const name of names) {
    summaries[name] = spreadOf(valuesOf(runs, name))
    if (baseline !== undefined) summaries[name].ratio = pairedRatio(runs, baseline, name)
  }
  return summaries
}

/**
 * @param aim - required bound of a figure
 * @param variants - measured variants
 * @returns the aim with its verdict, by the median
 */
export function evaluateAim (aim: Aim, variants: readonly VariantResult[]): AimResult {
  const summary = variants.find(variant => variant.name === aim.variant)?.figures[aim.figure]
  const spread = aim.compare === 'ratio' ? summary?.ratio : summary
  if (spread === undefined || spread.count === 0) return { ...aim, verdict: 'not_measured' }
  const met = aim.bound === 'at_most' ? spread.median <= aim.limit : spread.median >= aim.limit
  return { ...aim, measured: spread.median, verdict: met ? 'met' : 'missed' }
}

function valuesOf (runs: readonly RecordedRun[], figure: string): number[] {
  return runs.filter(run => figure in run.figures).map(run => run.figures[figure])
}

/** Rounds in which either run failed are omitted. */
function pairedRatio (runs: readonly RecordedRun[], baseline: readonly RecordedRun[], figure: string): ReturnType<typeof ratioSpread> {
  const pairs = runs.flatMap(run => {
    const other = baseline.find(candidate => candidate.round === run.round)
    const complete = figure in run.figures && other !== undefined && figure in other.figures
    return complete ? [{ value: run.figures[figure], base: other.figures[figure] }] : []
  })
  return ratioSpread(pairs.map(pair => pair.value), pairs.map(pair => pair.base))
}
