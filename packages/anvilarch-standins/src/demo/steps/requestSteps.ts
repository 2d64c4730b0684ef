/** Steps 2 and 3: online requests of both kinds. */
import { waitFor } from '../../fleet/waits'
import { requestCompletion, streamCompletion, callLookup } from '../callers'
import { runCommand } from '../commandLine'
import { readExecutions } from '../executions'
import { type DemoContext, type DemoStep, expectThat } from '../types'

const CHAT_TOKENS = 40
/** Until the agents have reported the models to a gateway, it rejects requests with `Retry-After`. */
const FIRST_RESPONSE_TIMEOUT_MS = 10_000

/** Requests completions: a whole one through one gateway, and a streamed one through each. */
export const completionStep: DemoStep = {
  title: 'Chat completions, whole and streamed, are complete and correct',
  run: async context => {
    const { fleet } = context
    await waitForFirstResponses(context)
    const requestId = 'demo-chat'
    await requestCompletion(fleet.callerUrls()[0], { prompt: 'Why is my domain on hold?', maxTokens: CHAT_TOKENS, requestId })
    const streamed = await Promise.all(fleet.callerUrls().map(async (url, index) => await streamCompletion(url, { prompt: `Explain transfer ${index}.`, maxTokens: CHAT_TOKENS })))
    expectThat(streamed.every(({ tokens }) => tokens === CHAT_TOKENS), () => `the usage reports ${streamed.map(({ tokens }) => tokens).join(' and ')} tokens; expected ${CHAT_TOKENS}`)
    const executions = await readExecutions(fleet, requestId)
    expectThat(executions.length === 1, () => `the request ran ${executions.length} times: ${JSON.stringify(executions)}`)
    const timeline = await runCommand<{ events: Array<{ process: string }> }>(context, 'timeline', '--request', requestId)
    const processes = new Set(timeline.events.map(event => event.process))
    return `${streamed.length + 1} responses of ${CHAT_TOKENS} tokens; first token after ${Math.round(streamed[0].firstTokenMs)} ms; ${timeline.events.length} events on the timeline of one request, from ${processes.size} processes`
  }
}

async function waitForFirstResponses ({ fleet, clock }: DemoContext): Promise<void> {
  let lastError = ''
  for (const url of fleet.callerUrls()) {
    await waitFor(async () => {
      try {
        await requestCompletion(url, { prompt: 'Are you there?', maxTokens: 1 })
        return true
      } catch (error) {
        lastError = (error as Error).message
        return false
      }
    }, { clock, timeoutMs: FIRST_RESPONSE_TIMEOUT_MS, what: `a first response from ${url}`, intervalMs: 200 }).catch((error: Error) => { throw new Error(`${error.message}; last error: ${lastError}`) })
  }
}

/** Calls the plain service: lookups, and one call that must not be repeated. */
export const lookupStep: DemoStep = {
  title: 'A plain service is called; a call that is not idempotent runs once',
  run: async ({ fleet }) => {
    const urls = fleet.callerUrls()
    const names = Array.from({ length: 20 }, (_, index) => `/names/example-${index}.com`)
    await Promise.all(names.map(async (path, index) => { await callLookup(urls[index % urls.length], 'GET', path, '', `demo-lookup-${index}`) }))
    await callLookup(urls[0], 'POST', '/orders', '{"name":"example.com"}', 'demo-order')
    const executions = await readExecutions(fleet, 'demo-order')
    expectThat(executions.length === 1, () => `the order ran ${executions.length} times: ${JSON.stringify(executions)}`)
    return `${names.length} lookups succeeded; the order ran once, on ${executions[0].endpoint}`
  }
}
