/** Plots as data, rendered by `renderPlot`. */

/** Scale of an axis: equal distances for equal differences (linear) or for equal ratios (log). */
export type ScaleKind = 'linear' | 'log'

/** A measured point with its range over the rounds. */
export interface PlotPoint {
  x: number
  y: number
  min?: number
  max?: number
  /** Text beside the point. */
  label?: string
}

/** A named series of points. */
export interface PlotSeries {
  name: string
  points: PlotPoint[]
}

/** Lines over a numeric axis. */
export interface LinePlot {
  kind: 'line'
  /** Part of the file name. */
  name: string
  title: string
  xLabel: string
  yLabel: string
  xScale: ScaleKind
  yScale: ScaleKind
  series: PlotSeries[]
  /** A horizontal line, for example a budget. */
  limit?: { value: number, label: string }
}

/** Bars in groups. */
export interface BarPlot {
  kind: 'bar'
  name: string
  title: string
  yLabel: string
  groups: Array<{ name: string, bars: Array<{ name: string, value: number, min?: number, max?: number }> }>
  limit?: { value: number, label: string }
}

/** Any plot. */
export type Plot = LinePlot | BarPlot
