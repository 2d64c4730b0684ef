/** Renders the charts of a report as SVG. */
import type { EChartsOption } from 'echarts/types/dist/shared'
import type { ReportSecond } from './types'

/** The part of the chart library that is used. The library's own declarations need ES modules. */
interface ChartLibrary {
  init: (element: null, theme: null, options: { renderer: 'svg', ssr: boolean, width: number, height: number }) => {
    setOption: (option: EChartsOption) => void
    renderToSVGString: () => string
    dispose: () => void
  }
}

const { init } = require('echarts') as ChartLibrary

/** One line or area of a chart. */
interface SeriesSpec {
  field: keyof ReportSecond
  title: string
  color: string
  /** Series with the same value are stacked as areas; without one, a series is drawn as a line. */
  stack?: string
}

/** A chart with the seconds of a report on its x-axis. */
interface ChartSpec {
  title: string
  unit: string
  series: SeriesSpec[]
}

const WIDTH_PX = 1100
const HEIGHT_PX = 260

const CHARTS: readonly ChartSpec[] = [
  {
    title: 'Requests by outcome',
    unit: 'requests a second',
    series: [
      { field: 'answered', title: 'on time', color: '#3b8f5a', stack: 'ends' },
      { field: 'late', title: 'late', color: '#d9a441', stack: 'ends' },
      { field: 'refused', title: 'refused', color: '#7a6fb0', stack: 'ends' },
      { field: 'failed', title: 'failed', color: '#c0392b', stack: 'ends' },
      { field: 'cut', title: 'cut', color: '#5e1f17', stack: 'ends' },
      { field: 'left', title: 'left by clients', color: '#999999', stack: 'ends' },
      { field: 'arrived', title: 'arrived', color: '#222222' }
    ]
  },
  {
    title: 'Slots of engines',
    unit: 'slots',
    series: [
      { field: 'online', title: 'online, waiting ones included', color: '#2f6fa8', stack: 'use' },
      { field: 'batchRunning', title: 'batch items', color: '#8fbf6a', stack: 'use' },
      { field: 'slots', title: 'slots', color: '#222222' },
      { field: 'batchPaused', title: 'items claimed without a run', color: '#d9a441' }
    ]
  },
  {
    title: 'Aborted runs of batch items',
    unit: 'runs a second',
    series: [{ field: 'pauses', title: 'aborted', color: '#c0392b' }]
  },
  {
    title: 'Age of configuration and endpoint list, oldest of any gateway',
    unit: 'ms',
    series: [
      { field: 'configurationAgeMs', title: 'configuration', color: '#2f6fa8' },
      { field: 'endpointsAgeMs', title: 'list of endpoints', color: '#c0392b' }
    ]
  }
]

/**
 * @param seconds - of a report
 * @returns one SVG document for each chart
 */
export function drawCharts (seconds: readonly ReportSecond[]): string[] {
  return CHARTS.map(spec => drawChart(spec, seconds))
}

function drawChart (spec: ChartSpec, seconds: readonly ReportSecond[]): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH_PX, height: HEIGHT_PX })
  chart.setOption({
    animation: false,
    title: { text: spec.title, textStyle: { fontSize: 14 } },
    legend: { top: 22, itemHeight: 8, textStyle: { fontSize: 11 } },
    grid: { left: 60, right: 20, top: 55, bottom: 35 },
    xAxis: { type: 'category', name: 's', data: seconds.map(entry => entry.second) },
    yAxis: { type: 'value', name: spec.unit },
    series: spec.series.map(series => ({
      name: series.title,
      type: 'line',
      step: 'end',
      showSymbol: false,
      itemStyle: { color: series.color },
      lineStyle: { width: series.stack === undefined ? 1.5 : 0 },
      ...series.stack === undefined ? {} : { stack: series.stack, areaStyle: { color: series.color, opacity: 0.85 } },
      data: seconds.map(entry => entry[series.field])
    }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}
