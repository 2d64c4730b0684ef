/** `anvilarch logs failures` */
import { option, optional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { findFailures, type LoggedFailure } from '../explain/failures'
import { readLogSources } from '../explain/logSources'
import { lostLives } from '../explain/surroundings'
import { formatCount, formatTable } from '../output/table'

/** Lists what went wrong, with the ids that `explain` takes. */
export const logsFailures = defineCommand({
  name: 'failures',
  description: 'List requests, jobs and items that went wrong, and processes that ended without a word',
  args: {
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' })
  },
  examples: [{ description: 'What went wrong today', line: 'anvilarch logs failures --logs /var/log/anvilarch' }],
  run: async ({ logs }) => {
    const lines = readLogSources(logs)
    const failures = findFailures(lines)
    const lives = lostLives(lines)
    const text = [
      formatTable(['time', 'process', 'id', 'outcome', 'reason'], failures.map(failureRow)),
      '',
      ...lives.map(life => `${life.process} ended without a word after ${life.lastLineAt} and started again at ${life.startedAgainAt}`),
      `${formatCount(failures.length, 'failure')}, ${formatCount(lives.length, 'lost life', 'lost lives')}`
    ].join('\n')
    return { json: { failures, lostLives: lives }, text, exit: 'ok' }
  }
})

function failureRow (failure: LoggedFailure): string[] {
  return [failure.at.slice(11, 23), failure.process, failure.id, failure.outcome, failure.reason]
}
