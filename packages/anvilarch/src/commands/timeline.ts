/** `anvilarch timeline` */
import { option, optional, string } from 'cmd-ts'
import { CliError } from '../cliError'
import { defineCommand } from '../defineCommand'
import { formatCount } from '../output/table'
import { collectEvents, type CollectedEvents, timelineSources } from '../timeline/collectEvents'
import { formatEvents } from '../timeline/mergeEvents'

/** Shows the events of one request or job, merged over all processes. */
export const timeline = defineCommand({
  name: 'timeline',
  description: 'Show the events of one request or job over all processes, in order',
  args: {
    request: option({ long: 'request', type: optional(string), description: 'request id, from the header X-Request-Id of the answer' }),
    job: option({ long: 'job', type: optional(string), description: 'job id' })
  },
  examples: [
    { description: 'What happened to a request', line: 'anvilarch timeline --request req_0193' },
    { description: 'What happened to a job', line: 'anvilarch timeline --job batch_0193' }
  ],
  run: async ({ request, job }, session) => {
    expectOneFilter(request, job)
    const sources = timelineSources(await session.gateway.status())
    const collected = await collectEvents(sources, { request, job })
    return {
      json: { request, job, ...collected },
      text: formatTimeline(collected, sources.length)
    }
  }
})

function expectOneFilter (request: string | undefined, job: string | undefined): void {
  if ((request === undefined) !== (job === undefined)) return
  throw new CliError('Name either a request or a job: --request ID or --job ID.', {
    code: 'bad_request', step: 'cli.options', exit: 'usage', ran: 'not_run', hint: 'Run "anvilarch timeline --help" for examples.'
  })
}

function formatTimeline ({ events, missing }: CollectedEvents, daemons: number): string {
  const processes = new Set(events.map(event => event.process)).size
  const summary = `${formatCount(events.length, 'event')} of ${formatCount(processes, 'process', 'processes')}; ${daemons - missing.length} of ${formatCount(daemons, 'daemon')} answered`
  const lost = missing.map(({ process, operationsAddress, reason }) => `  missing: ${process} at ${operationsAddress} (${reason})`)
  const table = events.length === 0 ? 'no events: check the id; or it is too long ago, since a daemon keeps only its latest events and loses them when it ends' : formatEvents(events)
  return [table, '', summary, ...lost].join('\n')
}
