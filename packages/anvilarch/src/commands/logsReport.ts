/** `anvilarch logs report` */
import { writeFileSync } from 'node:fs'
import { option, optional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { readLogSources } from '../explain/logSources'
import { formatCount, formatTable } from '../output/table'
import { buildReport } from '../report/buildReport'
import { renderReport } from '../report/renderReport'

/** Reports load, slots, losses and events of a deployment per second. */
export const logsReport = defineCommand({
  name: 'report',
  description: 'Write a page with load, slots, losses and events by second; with --json also as data',
  args: {
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' }),
    output: option({ long: 'output', type: optional(string), description: 'HTML file to write; the table of losses alone is printed if left out' })
  },
  examples: [{ description: 'A page about an incident', line: 'anvilarch logs report --logs /var/log/anvilarch --output incident.html' }],
  run: async ({ logs, output }) => {
    const report = buildReport(readLogSources(logs))
    if (output !== undefined) writeFileSync(output, renderReport(report))
    const rows = report.losses.map(loss => [
      loss.kind, loss.outcome, loss.reason, String(loss.count), `${loss.fromSecond} to ${loss.untilSecond} s`, `${loss.worstCount} in ${loss.worstSecond} s`, loss.ids[0] ?? ''
    ])
    const text = [
      formatTable(['kind', 'outcome', 'reason', 'count', 'seconds', 'most', 'an id'], rows),
      '',
      `${formatCount(report.seconds.length, 'second')}, ${formatCount(report.lineCount, 'line')}, ${formatCount(report.processCount, 'process', 'processes')}${output === undefined ? '' : `; written to ${output}`}`
    ].join('\n')
    return { json: { ...report }, text, exit: 'ok' }
  }
})
