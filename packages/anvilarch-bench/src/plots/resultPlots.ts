/** Creates plots from the figures of a result. */
import type { ExperimentResult, VariantResult } from '../harness/types'
import type { BarPlot, LinePlot, PlotPoint, PlotSeries } from './types'

/**
 * @param result - result of an experiment
 * @param figures - figures to show, with the names of their groups
 * @param frame - name, title, axis and limit
 * @returns a group of bars for each figure and a bar for each variant
 */
export function barsByFigure (result: ExperimentResult, figures: Record<string, string>, frame: Pick<BarPlot, 'name' | 'title' | 'yLabel' | 'limit'>): BarPlot {
  const groups = Object.entries(figures).map(([figure, name]) => ({
    name,
    bars: result.variants.filter(variant => figure in variant.figures).map(variant => {
      const { median, min, max } = variant.figures[figure]
      return { name: variant.name, value: median, min, max }
    })
  }))
  return { kind: 'bar', ...frame, groups }
}

/** One line of `linesBySetting`. */
export interface LineSpec {
  name: string
  figure: string
  variants?: (variant: VariantResult) => boolean
}

/**
 * @param result - result of an experiment
 * @param setting - numeric setting of the variants, shown on the horizontal axis
 * @param lines - name and figure of each line
 * @param frame - name, title, axes and limit
 * @returns a plot with a line for each figure over the setting
 */
export function linesBySetting (result: ExperimentResult, setting: string, lines: readonly LineSpec[], frame: Omit<LinePlot, 'kind' | 'series'>): LinePlot {
  const series: PlotSeries[] = lines.map(line => ({
    name: line.name,
    points: result.variants
      .filter(variant => typeof variant.settings[setting] === 'number' && line.figure in variant.figures && (line.variants?.(variant) ?? true))
      .map(variant => toPoint(variant, setting, line.figure))
      .sort((left, right) => left.x - right.x)
  }))
  return { kind: 'line', ...frame, series }
}

function toPoint (variant: VariantResult, setting: string, figure: string): PlotPoint {
  const { median, min, max } = variant.figures[figure]
  return { x: Number(variant.settings[setting]), y: median, min, max }
}
