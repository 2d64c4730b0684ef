/** `anvilarch explain` */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { option, optional, positional, string } from 'cmd-ts'
import { CliError } from '../cliError'
import { defineCommand } from '../defineCommand'
import { formatFields, linesAbout, type LogLine, parseLogs } from '../explain/readLogs'
import { formatCount, formatTable } from '../output/table'

/** File descriptor of standard input. */
const STANDARD_INPUT = 0

/** Tells the story of one request, item, job or endpoint from the logs of all processes. */
export const explain = defineCommand({
  name: 'explain',
  description: 'Tell what happened to a request, item, job or endpoint, from the logs of all processes',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'id of a request, an item, a job or an endpoint' }),
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' })
  },
  examples: [
    { description: 'Why a request failed', line: 'anvilarch explain 9c41d07be2a35f68 --logs /var/log/anvilarch' },
    { description: 'The same from a stream of logs', line: 'cat *.log | anvilarch explain 9c41d07be2a35f68' }
  ],
  run: async ({ id, logs }) => {
    const lines = linesAbout(readSources(logs).flatMap(parseLogs), id)
    return { json: lines, text: formatStory(id, lines), exit: lines.length === 0 ? 'failed' : 'ok' }
  }
})

function readSources (path: string | undefined): string[] {
  if (path === undefined) return [readFileSync(STANDARD_INPUT, 'utf8')]
  try {
    const files = statSync(path).isDirectory() ? readdirSync(path).map(name => join(path, name)) : [path]
    return files.filter(file => statSync(file).isFile()).map(file => readFileSync(file, 'utf8'))
  } catch (error) {
    throw new CliError(`The logs at ${path} can't be read: ${(error as Error).message}.`, {
      code: 'bad_request', step: 'explain.read', exit: 'usage', ran: 'not_run', hint: 'Give a folder of log files, or one file, with --logs.'
    })
  }
}

function formatStory (id: string, lines: LogLine[]): string {
  if (lines.length === 0) return `no line tells of ${id}: check the id; or its lines were left out under load, or lost with their process`
  const processes = new Set(lines.map(line => line.process)).size
  const rows = lines.map(line => [line.at.slice(11, 23), line.process, line.message, formatFields(line)])
  return [formatTable(['time', 'process', 'what', 'with'], rows), '', `${formatCount(lines.length, 'line')} of ${formatCount(processes, 'process', 'processes')}`].join('\n')
}
