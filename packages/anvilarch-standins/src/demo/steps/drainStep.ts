/** Step 6: an agent and a gateway receive SIGTERM, and no request in progress is interrupted. */
import { waitFor } from '../../fleet/waits'
import { askPlain, askStreamed } from '../callers'
import { readExecutions } from '../executions'
import { type DemoContext, type DemoStep, expectThat } from '../types'

const STREAMS = 18
/** Long enough that the streams are in progress while both daemons drain. */
const STREAM_TOKENS = 150
const BEGIN_TIMEOUT_MS = 5000
const DRAIN_TIMEOUT_MS = 20_000

/** Both kinds of daemon drain on SIGTERM. */
export const drainStep: DemoStep = {
  title: 'SIGTERM drains an agent and a gateway; no request in progress is interrupted',
  run: async context => {
    const agent = await drain(context, 'agent-1')
    const gateway = await drain(context, 'gateway-2')
    await askPlain(context.fleet.callerUrls()[0], { prompt: 'Who is left?', maxTokens: 5 })
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
    await askStreamed(urls[index % urls.length], { prompt: `Draft reply ${index} while ${name} ends.`, maxTokens: STREAM_TOKENS, requestId: `${prefix}${index}` }))
  const settled = Promise.allSettled(streams)
  const running = await waitFor(async () => {
    const mine = (await readExecutions(fleet)).filter(({ requestId, state }) => requestId.startsWith(prefix) && state === 'running')
    return mine.length === STREAMS && mine
  }, { clock, timeoutMs: BEGIN_TIMEOUT_MS, what: `${STREAMS} streams to run before "${name}" is terminated` })
  const behind = fronts.length === 0 ? Math.floor(STREAMS / urls.length) : running.filter(({ endpoint }) => fronts.includes(endpoint)).length
  expectThat(behind > 0, () => `no stream runs through "${name}"`)
  await fleet.setHostState(name, 'leaving')
  fleet.kill(name, 'SIGTERM')
  const exit = await fleet.waitExit(name, DRAIN_TIMEOUT_MS)
  const cut = (await settled).filter(stream => stream.status === 'rejected')
  expectThat(cut.length === 0, () => `${cut.length} of ${STREAMS} streams were interrupted: ${String((cut[0] as PromiseRejectedResult).reason)}`)
  expectThat(exit.code === 0, () => `"${name}" exited with code ${String(exit.code)}, signal ${String(exit.signal)}`)
  const resent = (await readExecutions(fleet)).filter(({ requestId }) => requestId.startsWith(prefix)).length - STREAMS
  expectThat(resent === 0, () => `${resent} streams ran a second time elsewhere while "${name}" drained`)
  return `${name} exited after the ${behind} streams in progress on it`
}
