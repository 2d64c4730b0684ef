import { renderPlot } from '../renderPlot'
import { createScale, formatTick } from '../scale'
import type { LinePlot } from '../types'

const linePlot: LinePlot = {
  kind: 'line',
  name: 'tail',
  title: 'Tail & load <ms>',
  xLabel: 'peers',
  yLabel: 'ms',
  xScale: 'log',
  yScale: 'linear',
  series: [{ name: 'a', points: [{ x: 5, y: 1, min: 0.5, max: 2 }, { x: 320, y: 10 }] }],
  limit: { value: 19, label: 'budget' }
}

describe('createScale', () => {
  test('widens a linear range to round ticks', () => {
    const scale = createScale('linear', { min: 0, max: 47, from: 0, to: 100 })
    expect(scale.ticks).toEqual([0, 10, 20, 30, 40, 50])
    expect(scale.position(25)).toBe(50)
  })

  test('maps equal ratios to equal distances on a log scale', () => {
    const scale = createScale('log', { min: 1, max: 100, from: 0, to: 100 })
    expect(scale.ticks).toEqual([1, 2, 5, 10, 20, 50, 100])
    expect(scale.position(10)).toBeCloseTo(50)
  })

  test('widens a range of zero length', () => {
    expect(createScale('linear', { min: 0, max: 0, from: 0, to: 1 }).ticks.length).toBeGreaterThan(1)
    expect(createScale('log', { min: 5, max: 5, from: 0, to: 1 }).ticks).toContain(10)
  })
})

describe('formatTick', () => {
  test('shortens large values', () => {
    expect([0.25, 1500, 12_000, 2_500_000, 3e9].map(formatTick)).toEqual(['0.25', '1500', '12k', '2.5M', '3G'])
  })
})

describe('renderPlot', () => {
  test('escapes text and renders points, range and limit', () => {
    const svg = renderPlot(linePlot)
    expect(svg).toContain('Tail &amp; load &lt;ms&gt;')
    expect(svg.match(/<circle/g)).toHaveLength(2)
    expect(svg).toContain('budget')
    expect(svg).not.toContain('NaN')
  })

  test('renders a bar for each value', () => {
    const svg = renderPlot({ kind: 'bar', name: 'b', title: 'b', yLabel: '%', groups: [{ name: 'g', bars: [{ name: 'x', value: 1 }, { name: 'y', value: 0, min: 0, max: 2 }] }] })
    expect(svg.match(/fill-opacity="0.85"/g)).toHaveLength(2)
    expect(svg).not.toContain('NaN')
  })

  test('renders an empty plot without NaN positions', () => {
    expect(renderPlot({ ...linePlot, series: [], limit: undefined })).not.toContain('NaN')
    expect(renderPlot({ kind: 'bar', name: 'b', title: 'b', yLabel: '', groups: [] })).not.toContain('NaN')
  })
})
