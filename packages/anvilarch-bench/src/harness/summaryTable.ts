/** Renders the table that a bench run prints. */
import Table from 'cli-table3'
import { formatFigure } from './formatFigure'
import type { AimResult, ExperimentResult, FigureSummary } from './types'

/**
 * @param result - result of an experiment
 * @returns a table of the summary figures: median (min to max) and ratio to the baseline
 */
export function summaryTable (result: ExperimentResult): string {
  const table = new Table({ head: ['figure', ...result.variants.map(variant => variant.name + (variant.isBaseline ? ' (baseline)' : ''))], style: { head: [], border: [] } })
  for (const name of result.summary) {
    if (!result.variants.some(variant => name in variant.figures)) continue
    table.push([name, ...result.variants.map(variant => figureText(variant.figures[name]))])
  }
  return table.toString()
}

/**
 * @param figure - summary over all rounds
 * @returns text such as `12 (11 to 14) ×1.2`
 */
export function figureText (figure: FigureSummary | undefined): string {
  if (figure === undefined || figure.count === 0) return '–'
  const range = figure.count > 1 ? ` (${formatFigure(figure.min)} to ${formatFigure(figure.max)})` : ''
  const ratio = figure.ratio !== undefined && figure.ratio.count > 0 ? ` ×${formatFigure(figure.ratio.median)}` : ''
  return formatFigure(figure.median) + range + ratio
}

/**
 * @param aim - aim with its verdict
 * @returns one line of text
 */
export function aimText (aim: AimResult): string {
  const measured = aim.measured === undefined ? 'not measured' : `measured ${aim.compare === 'ratio' ? '×' : ''}${formatFigure(aim.measured)}`
  return `${aim.verdict === 'met' ? 'met   ' : aim.verdict === 'missed' ? 'MISSED' : '–     '} ${aim.text}: ${measured}, ${aim.bound.replace('_', ' ')} ${formatFigure(aim.limit)}`
}
