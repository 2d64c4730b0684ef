/** Renders a report as one HTML page. */
import { drawCharts } from './charts'
import type { LogReport, ReportLoss, ReportMoment } from './types'

const STYLE = `body { font: 14px system-ui, sans-serif; margin: 24px auto; max-width: 1140px; color: #222 }
table { border-collapse: collapse; margin: 8px 0 24px } td, th { border-bottom: 1px solid #ddd; padding: 3px 10px; text-align: left; vertical-align: top }
td.number { text-align: right } code { font-size: 12px }`

/** @returns the report as an HTML document without references to other files */
export function renderReport (report: LogReport): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>Report of logs</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>Report of logs</h1>',
    `<p>From ${escapeText(report.startedAt)}: ${report.seconds.length} seconds, ${report.processCount} processes, ${report.lineCount} lines. Seconds count from the first line.</p>`,
    ...drawCharts(report.seconds),
    '<h2>What was lost or late</h2>',
    '<p>The ids can be given to <code>anvilarch explain</code>.</p>',
    table(['kind', 'outcome', 'reason', 'count', 'seconds', 'most in', 'ids'], report.losses.map(lossCells)),
    '<h2>Processes, store, endpoints and configuration</h2>',
    table(['second', 'event', 'processes', 'detail'], groupMoments(report.moments)),
    '</body></html>',
    ''
  ].join('\n')
}

function lossCells (loss: ReportLoss): string[] {
  return [
    loss.kind, loss.outcome, loss.reason, String(loss.count), `${loss.fromSecond} to ${loss.untilSecond}`,
    `${loss.worstSecond} (${loss.worstCount})`, loss.ids.join(' ')
  ]
}

/** Up to this many processes are listed by name; of more, only the number is shown. */
const NAMED_PROCESSES = 3

/** Combines the same event at several processes in one second into one row. */
function groupMoments (moments: readonly ReportMoment[]): string[][] {
  const groups = new Map<string, ReportMoment[]>()
  for (const moment of moments) {
    const key = [moment.second, moment.message, moment.detail].join('\n')
    groups.set(key, [...groups.get(key) ?? [], moment])
  }
  return [...groups.values()].map(group => {
    const names = [...new Set(group.map(moment => moment.process))]
    const processes = names.length > NAMED_PROCESSES ? `${names.length} processes` : names.join(' ')
    return [String(group[0].second), group[0].message, processes, group[0].detail]
  })
}

function table (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const head = headings.map(text => `<th>${escapeText(text)}</th>`).join('')
  const body = rows.map(row => `<tr>${row.map(cell).join('')}</tr>`).join('\n')
  return `<table><tr>${head}</tr>\n${body}</table>`
}

function cell (text: string): string {
  return `<td${/^\d+$/.test(text) ? ' class="number"' : ''}>${escapeText(text)}</td>`
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}
