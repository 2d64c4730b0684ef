/** Renders lines with points and their ranges. */
import { createScale, formatTick, type Scale } from './scale'
import { element, FRAME, legend, limitLine, PALETTE, svgDocument, text, yAxis } from './svg'
import type { LinePlot, PlotPoint, PlotSeries } from './types'

/**
 * @param plot - plot to render
 * @returns the SVG document
 */
export function renderLineChart (plot: LinePlot): string {
  const points = plot.series.flatMap(series => series.points)
  const xScale = createScale(plot.xScale, { ...extent(points.map(point => point.x), plot.xScale), from: FRAME.left, to: FRAME.width - FRAME.right })
  const limits = plot.limit === undefined ? [] : [plot.limit.value]
  const yValues = [...points.flatMap(point => [point.y, point.min ?? point.y, point.max ?? point.y]), ...limits]
  const yScale = createScale(plot.yScale, { ...extent(yValues, plot.yScale), from: FRAME.height - FRAME.bottom, to: FRAME.top })
  return svgDocument(plot.title, [
    ...yAxis(yScale, plot.yLabel),
    ...xAxis(xScale, plot.xLabel),
    ...(plot.limit === undefined ? [] : limitLine(yScale, plot.limit)),
    ...plot.series.flatMap((series, index) => drawSeries(series, PALETTE[index % PALETTE.length], xScale, yScale)),
    ...legend(plot.series.map(series => series.name))
  ])
}

/** A linear axis includes zero, so that differences are not exaggerated. */
function extent (values: readonly number[], kind: LinePlot['xScale']): { min: number, max: number } {
  const usable = values.filter(value => Number.isFinite(value) && (kind === 'linear' || value > 0))
  if (usable.length === 0) return kind === 'linear' ? { min: 0, max: 1 } : { min: 1, max: 10 }
  const min = Math.min(...usable)
  return { min: kind === 'linear' ? Math.min(0, min) : min, max: Math.max(...usable) }
}

function xAxis (scale: Scale, label: string): string[] {
  const y = FRAME.height - FRAME.bottom
  const ticks = scale.ticks.flatMap(value => {
    const x = scale.position(value)
    return [
      element('line', { x1: x, x2: x, y1: y, y2: y + 4, stroke: '#888' }),
      text(x, y + 18, formatTick(value), { 'text-anchor': 'middle' })
    ]
  })
  return [
    element('line', { x1: FRAME.left, x2: FRAME.width - FRAME.right, y1: y, y2: y, stroke: '#888' }),
    ...ticks,
    text((FRAME.left + FRAME.width - FRAME.right) / 2, FRAME.height - 14, label, { 'text-anchor': 'middle', fill: '#555' })
  ]
}

function drawSeries (series: PlotSeries, colour: string, xScale: Scale, yScale: Scale): string[] {
  const points = series.points.filter(point => Number.isFinite(point.x) && Number.isFinite(point.y))
  const path = points.map(point => `${xScale.position(point.x).toFixed(1)},${yScale.position(point.y).toFixed(1)}`).join(' ')
  return [
    element('polyline', { points: path, fill: 'none', stroke: colour, 'stroke-width': 1.8 }),
    ...points.flatMap(point => drawPoint(point, colour, xScale, yScale))
  ]
}

function drawPoint (point: PlotPoint, colour: string, xScale: Scale, yScale: Scale): string[] {
  const x = xScale.position(point.x)
  const y = yScale.position(point.y)
  const parts = [element('circle', { cx: x, cy: y, r: 3, fill: colour })]
  if (point.min !== undefined && point.max !== undefined) {
    parts.push(element('line', { x1: x, x2: x, y1: yScale.position(point.min), y2: yScale.position(point.max), stroke: colour, 'stroke-opacity': 0.5 }))
  }
  if (point.label !== undefined) parts.push(text(x + 6, y - 6, point.label, { 'font-size': '11' }))
  return parts
}
