/** Renders any plot as SVG. */
import { renderBarChart } from './barChart'
import { renderLineChart } from './lineChart'
import type { BarPlot, LinePlot, Plot } from './types'

type Renderers = { line: (plot: LinePlot) => string, bar: (plot: BarPlot) => string }

const RENDERERS: Renderers = { line: renderLineChart, bar: renderBarChart }

/**
 * @param plot - plot to render
 * @returns the SVG document
 */
export function renderPlot (plot: Plot): string {
  return (RENDERERS[plot.kind] as (plot: Plot) => string)(plot)
}
