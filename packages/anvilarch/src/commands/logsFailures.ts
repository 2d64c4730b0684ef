/** `anvilarch logs failures` */
import { option, optional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { findFailures, type LoggedFailure } from '../explain/failures'
import { readLogSources } from '../explain/logSources'
import { findAbruptEnds } from '../explain/relatedEvents'
import { formatCount, formatTable } from '../output/table'

/** Lists failures with the ids that `anvilarch explain` accepts. */
export const logsFailures = defineCommand({
  name: 'failures',
  description: 'List requests, jobs and items that went wrong, and processes that ended without logging a stop',
  args: {
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' })
  },
  examples: [{ description: 'What went wrong today', line: 'anvilarch logs failures --logs /var/log/anvilarch' }],
  run: async ({ logs }) => {
    const lines = readLogSources(logs)
    const failures = findFailures(lines)
    const ends = findAbruptEnds(lines)
    const text = [
      formatTable(['time', 'process', 'id', 'outcome', 'reason'], failures.map(failureRow)),
      '',
      ...ends.map(end => `${end.process} ended without logging a stop after ${end.lastLineAt} and started again at ${end.startedAgainAt}`),
      `${formatCount(failures.length, 'failure')}, ${formatCount(ends.length, 'abrupt end')}`
    ].join('\n')
    return { json: { failures, abruptEnds: ends }, text, exit: 'ok' }
  }
})

function failureRow (failure: LoggedFailure): string[] {
  return [failure.at.slice(11, 23), failure.process, failure.id, failure.outcome, failure.reason]
}
