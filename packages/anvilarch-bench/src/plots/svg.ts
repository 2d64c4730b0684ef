/** Helpers that render SVG elements, and the frame of all plots. */
import { formatTick, type Scale } from './scale'

/** Size of a plot and its margins, in user units. */
export const FRAME = { width: 760, height: 380, left: 70, right: 20, top: 42, bottom: 56 } as const

/** Colours that are distinguishable with colour vision deficiency (Okabe and Ito). */
export const PALETTE = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#56b4e9', '#e69f00', '#000000', '#999999'] as const

type Attributes = Record<string, string | number>

/**
 * @param name - name of the element
 * @param attributes - attributes; their values are escaped
 * @param children - markup of the children, not escaped
 * @returns the markup of the element
 */
export function element (name: string, attributes: Attributes, children = ''): string {
  const list = Object.entries(attributes).map(([key, value]) => ` ${key}="${escapeXml(typeof value === 'number' ? roundCoordinate(value) : value)}"`).join('')
  return children === '' ? `<${name}${list}/>` : `<${name}${list}>${children}</${name}>`
}

/**
 * @param x - left end, middle or right end, depending on the attribute `text-anchor`
 * @param y - base line
 * @param content - text; escaped by this function
 * @param attributes - additional attributes
 * @returns a text element
 */
export function text (x: number, y: number, content: string, attributes: Attributes = {}): string {
  return element('text', { x, y, fill: '#222', ...attributes }, escapeXml(content))
}

/**
 * @param title - title of the plot
 * @param parts - elements of the document
 * @returns the SVG document
 */
export function svgDocument (title: string, parts: readonly string[]): string {
  const attributes = { xmlns: 'http://www.w3.org/2000/svg', viewBox: `0 0 ${FRAME.width} ${FRAME.height}`, 'font-family': 'sans-serif', 'font-size': '12', role: 'img' }
  const background = element('rect', { width: FRAME.width, height: FRAME.height, fill: '#fff' })
  const headline = text(FRAME.left, 20, title, { 'font-size': '14', 'font-weight': 'bold' })
  return element('svg', attributes, '\n' + [element('title', {}, escapeXml(title)), background, headline, ...parts].join('\n') + '\n')
}

/**
 * @param yScale - scale of the axis
 * @param label - label of the axis
 * @returns grid lines, tick labels and the axis label
 */
export function yAxis (yScale: Scale, label: string): string[] {
  const parts = yScale.ticks.flatMap(value => {
    const y = yScale.position(value)
    return [
      element('line', { x1: FRAME.left, x2: FRAME.width - FRAME.right, y1: y, y2: y, stroke: '#ddd' }),
      text(FRAME.left - 6, y + 4, formatTick(value), { 'text-anchor': 'end' })
    ]
  })
  return [...parts, text(FRAME.left, 36, label, { fill: '#555' })]
}

/**
 * @param yScale - scale of the axis
 * @param limit - value and label
 * @returns a dashed line across the plot
 */
export function limitLine (yScale: Scale, limit: { value: number, label: string }): string[] {
  const y = yScale.position(limit.value)
  return [
    element('line', { x1: FRAME.left, x2: FRAME.width - FRAME.right, y1: y, y2: y, stroke: '#a00', 'stroke-dasharray': '6 4' }),
    text(FRAME.width - FRAME.right, y - 4, limit.label, { 'text-anchor': 'end', fill: '#a00' })
  ]
}

/**
 * @param names - names of the series, in the order of their colours
 * @returns a legend at the top right
 */
export function legend (names: readonly string[]): string[] {
  const rowHeight = 15
  return names.flatMap((name, index) => {
    const y = FRAME.top + 8 + index * rowHeight
    const x = FRAME.width - FRAME.right - 8
    return [
      element('rect', { x: x - 10, y: y - 9, width: 10, height: 10, fill: PALETTE[index % PALETTE.length] }),
      text(x - 15, y, name, { 'text-anchor': 'end', stroke: '#fff', 'stroke-width': 3, 'paint-order': 'stroke' })
    ]
  })
}

function escapeXml (value: string): string {
  return value.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

function roundCoordinate (value: number): string {
  return String(Math.round(value * 100) / 100)
}
