/** Renders grouped bars with their ranges. */
import { formatFigure } from '../harness/formatFigure'
import { createScale, type Scale } from './scale'
import { element, FRAME, legend, limitLine, PALETTE, svgDocument, text, yAxis } from './svg'
import type { BarPlot } from './types'

type Bar = BarPlot['groups'][number]['bars'][number]

/** Share of the width of a group that its bars occupy. */
const GROUP_FILL = 0.8

/**
 * @param plot - plot to render
 * @returns the SVG document
 */
export function renderBarChart (plot: BarPlot): string {
  const names = [...new Set(plot.groups.flatMap(group => group.bars.map(bar => bar.name)))]
  const values = plot.groups.flatMap(group => group.bars.flatMap(bar => [bar.value, bar.max ?? bar.value])).filter(Number.isFinite)
  const max = Math.max(0, ...values, plot.limit?.value ?? 0)
  const yScale = createScale('linear', { min: 0, max: max || 1, from: FRAME.height - FRAME.bottom, to: FRAME.top })
  const groupWidth = (FRAME.width - FRAME.left - FRAME.right) / Math.max(1, plot.groups.length)
  const groups = plot.groups.flatMap((group, index) => {
    const left = FRAME.left + index * groupWidth
    return [
      ...group.bars.flatMap(bar => drawBar(bar, names, left, groupWidth, yScale)),
      text(left + groupWidth / 2, FRAME.height - FRAME.bottom + 18, group.name, { 'text-anchor': 'middle' })
    ]
  })
  return svgDocument(plot.title, [
    ...yAxis(yScale, plot.yLabel),
    ...groups,
    ...(plot.limit === undefined ? [] : limitLine(yScale, plot.limit)),
    ...(names.length > 1 ? legend(names) : [])
  ])
}

function drawBar (bar: Bar, names: readonly string[], groupLeft: number, groupWidth: number, yScale: Scale): string[] {
  const index = names.indexOf(bar.name)
  const width = groupWidth * GROUP_FILL / names.length
  const x = groupLeft + groupWidth * (1 - GROUP_FILL) / 2 + index * width
  const y = yScale.position(bar.value)
  const middle = x + width / 2
  const parts = [
    element('rect', { x, y, width: width * 0.92, height: Math.max(0, yScale.position(0) - y), fill: PALETTE[index % PALETTE.length], 'fill-opacity': 0.85 }),
    text(middle, y - 4, formatFigure(bar.value), { 'text-anchor': 'middle', 'font-size': '10' })
  ]
  if (bar.min !== undefined && bar.max !== undefined) {
    parts.push(element('line', { x1: middle, x2: middle, y1: yScale.position(bar.min), y2: yScale.position(bar.max), stroke: '#222' }))
  }
  return parts
}
