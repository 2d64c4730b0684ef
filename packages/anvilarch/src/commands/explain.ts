/** `anvilarch explain` */
import { option, optional, positional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { readLogSources } from '../explain/logSources'
import { formatFields, linesAbout, type LogLine } from '../explain/readLogs'
import { type AbruptEnd, countConcurrentFailures, findAbruptEnds, findRelatedEvents } from '../explain/relatedEvents'
import { formatCount, formatTable } from '../output/table'

/** Shows the log lines of all processes about one request, item, job or endpoint, with related events. */
export const explain = defineCommand({
  name: 'explain',
  description: 'Show what happened to a request, item, job or endpoint, from the logs of all processes',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'id of a request, an item, a job or an endpoint' }),
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' })
  },
  examples: [
    { description: 'Why a request failed', line: 'anvilarch explain 9c41d07be2a35f68 --logs /var/log/anvilarch' },
    { description: 'The same from a stream of logs', line: 'cat *.log | anvilarch explain 9c41d07be2a35f68' }
  ],
  run: async ({ id, logs }) => {
    const all = readLogSources(logs)
    const lines = linesAbout(all, id)
    const related = findRelatedEvents(all, lines)
    const ends = relatedAbruptEnds(all, lines)
    const concurrentFailures = countConcurrentFailures(all, lines)
    return { json: { lines, around: related, abruptEnds: ends, failedTogether: concurrentFailures }, text: formatExplanation(id, lines, related, ends, concurrentFailures), exit: lines.length === 0 ? 'failed' : 'ok' }
  }
})

/** Abrupt ends of processes that occur in `lines`, if they restarted at or after its first line. */
function relatedAbruptEnds (all: readonly LogLine[], lines: readonly LogLine[]): AbruptEnd[] {
  const processes = new Set(lines.map(line => line.process))
  return findAbruptEnds(all).filter(end => processes.has(end.process) && Date.parse(end.startedAgainAt) >= Date.parse(lines[0].at))
}

function formatExplanation (id: string, lines: LogLine[], related: LogLine[], ends: AbruptEnd[], concurrentFailures: number): string {
  if (lines.length === 0) {
    return `no log line mentions ${id}: check the id; or its lines were dropped under load, or lost with their process (anvilarch logs failures names those)`
  }
  const processes = new Set(lines.map(line => line.process)).size
  return [
    formatLines(lines),
    '',
    `${formatCount(lines.length, 'line')} of ${formatCount(processes, 'process', 'processes')}`,
    ...concurrentFailures === 0 ? [] : [`${formatCount(concurrentFailures, 'other request')} ended without a complete response at the same moment`],
    ...related.length === 0 ? [] : ['', 'related events of the same processes and endpoints:', formatLines(related)],
    ...ends.map(end => `${end.process} ended without logging a stop after ${end.lastLineAt} and started again at ${end.startedAgainAt}`)
  ].join('\n')
}

function formatLines (lines: LogLine[]): string {
  return formatTable(['time', 'process', 'what', 'with'], lines.map(line => [line.at.slice(11, 23), line.process, line.message, formatFields(line)]))
}
