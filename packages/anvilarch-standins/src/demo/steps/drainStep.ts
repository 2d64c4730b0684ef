/** Step 6: an agent and a gateway receive SIGTERM, and no request in progress is interrupted. */
import { waitFor } from '../../fleet/waits'
import { requestCompletion, streamCompletion } from '../callers'
import { readExecutions } from '../executions'
import { type DemoContext, type DemoStep, expectThat } from '../types'

const STREAMS = 18
/** Long enough that the streams are in progress while both daemons drain. */
const STREAM_TOKENS = 150
const STREAM_START_TIMEOUT_MS = 5000
const DRAIN_TIMEOUT_MS = 20_000

/** Both kinds of daemon drain on SIGTERM. */
export const drainStep: DemoStep = {
  title: 'SIGTERM drains an agent and a gateway; no request in progress is interrupted',
  run: async context => {
    const agent = await drain(context, 'agent-1')
    const gateway = await drain(context, 'gateway-2')
    await requestCompletion(context.fleet.callerUrls()[0], { prompt: 'Who is left?', maxTokens: 5 })
    return `${agent}; ${gateway}; the other daemons continue to serve`
  }
}

/** Starts streams on all endpoints through all running gateways, terminates one daemon, and checks that no stream is interrupted. */
async function drain (context: DemoContext, name: string): Promise<string> {
  const { fleet, clock } = context
  const urls = fleet.processes('gateway').filter(({ processId }) => processId !== undefined).map(({ spec }) => spec.addresses.callers)
  const fronts = fleet.get(name).spec.fronts ?? []
  const prefix = `drain-${name}-`
  const streams = Array.from({ length: STREAMS }, async (_, index) =>
    await streamCompletion(urls[index % urls.length], { prompt: `Draft reply ${index} while ${name} ends.`, maxTokens: STREAM_TOKENS, requestId: `${prefix}${index}` }))
  const settled = Promise.allSettled(streams)
  const running = await waitFor(async () => {
    const runningStreams = (await readExecutions(fleet)).filter(({ requestId, state }) => requestId.startsWith(prefix) && state === 'running')
    return runningStreams.length === STREAMS && runningStreams
  }, { clock, timeoutMs: STREAM_START_TIMEOUT_MS, what: `${STREAMS} streams to run before "${name}" is terminated` })
  const streamsOnDaemon = fronts.length === 0 ? Math.floor(STREAMS / urls.length) : running.filter(({ endpoint }) => fronts.includes(endpoint)).length
  expectThat(streamsOnDaemon > 0, () => `no stream runs through "${name}"`)
  await fleet.setHostState(name, 'leaving')
  fleet.kill(name, 'SIGTERM')
  const exit = await fleet.waitExit(name, DRAIN_TIMEOUT_MS)
  const interrupted = (await settled).filter(stream => stream.status === 'rejected')
  expectThat(interrupted.length === 0, () => `${interrupted.length} of ${STREAMS} streams were interrupted: ${String((interrupted[0] as PromiseRejectedResult).reason)}`)
  expectThat(exit.code === 0, () => `"${name}" exited with code ${String(exit.code)}, signal ${String(exit.signal)}`)
  const rerunCount = (await readExecutions(fleet)).filter(({ requestId }) => requestId.startsWith(prefix)).length - STREAMS
  expectThat(rerunCount === 0, () => `${rerunCount} streams ran a second time elsewhere while "${name}" drained`)
  return `${name} exited after the ${streamsOnDaemon} streams in progress on it`
}
