/** Mixed load of a soak: online requests, lookups, orders, jobs, operators, and misbehaving callers while a fault enables them. */
import { createRandom, sleep } from 'anvilarch-utils'
import { createArrivals, steadyArrivals } from '../../load/arrivals'
import { runOpenLoop } from '../../load/openLoop'
import { callModel, randomPrompt } from '../load/modelCalls'
import { MISBEHAVING_CALLERS } from '../load/misbehavingCallers'
import { raceOperators } from '../load/operators'
import { callKeyedOrder, callLookup, callOrder } from '../load/plainCalls'
import { runJob } from '../load/runJob'
import type { LoadContext } from '../load/types'

/** Mean rates of the parts of the load, per second. */
export interface LoadRates {
  streams: number
  chats: number
  lookups: number
  orders: number
  keyedOrders: number
  jobs: number
  operatorRaces: number
}

/** Moderate, because all processes of the fleet share one computer and its engines are simulated. */
export const DEFAULT_RATES: LoadRates = {
  streams: 12,
  chats: 8,
  lookups: 45,
  orders: 6,
  keyedOrders: 6,
  jobs: 0.3,
  operatorRaces: 0.15
}

const MIN_TOKENS = 4
const MAX_TOKENS = 80
/** Wait for requests in progress after the last one was sent; later ones count as unfinished. */
const DRAIN_MS = 120_000

const SEND: Record<keyof LoadRates, (context: LoadContext, name: string, index: number) => Promise<void>> = {
  streams: async (context, name) => { await sendModel(context, name, 'stream') },
  chats: async (context, name) => { await sendModel(context, name, 'chat') },
  lookups: callLookup,
  orders: async (context, name) => { await callOrder(context, name) },
  keyedOrders: callKeyedOrder,
  jobs: runJob,
  operatorRaces: async (context, _name, index) => { await raceOperators(context, index + 1) }
}

/**
 * @param context - of the load
 * @param durationMs - how long to send
 * @param rates - of each part
 * @returns a promise that resolves when all requests have ended
 */
export async function runMixedLoad (context: LoadContext, durationMs: number, rates: LoadRates): Promise<void> {
  const parts = (Object.keys(rates) as Array<keyof LoadRates>).map(async part => {
    // A random source per part, so that the values of one do not depend on the response times of another.
    const random = createRandom(context.random.between(0, MAX_SEED))
    const partContext = { ...context, random }
    const { timesMs } = createArrivals(steadyArrivals(rates[part], durationMs), random)
    const { clientErrors, unfinished } = await runOpenLoop({
      clock: context.clock,
      timesMs,
      warmUpMs: 0,
      drainMs: DRAIN_MS,
      signal: context.signal,
      send: async ({ index }) => { await SEND[part](partContext, `${part}-${context.seed}-${index}`, index) }
    })
    if (clientErrors > 0 || unfinished > 0) throw new Error(`load generator "${part}" had ${clientErrors} client errors and ${unfinished} unfinished calls`)
  })
  await Promise.all([...parts, ...runMisbehavingCallers(context)])
}

const MAX_SEED = 0x7fffffff

async function sendModel (context: LoadContext, name: string, kind: 'stream' | 'chat'): Promise<void> {
  const { gateways, random } = context
  await callModel(context, { requestId: name, kind, prompt: randomPrompt(context, name), maxTokens: random.between(MIN_TOKENS, MAX_TOKENS), gateway: gateways.pick() })
}

/** Each kind reads its switch at every tick. Calls in progress continue after the switch is turned off. */
function runMisbehavingCallers (context: LoadContext): Array<Promise<void>> {
  return (Object.keys(MISBEHAVING_CALLERS) as Array<keyof typeof MISBEHAVING_CALLERS>).map(async name => {
    const { everyMs, run } = MISBEHAVING_CALLERS[name]
    const callerContext = { ...context, random: createRandom(context.random.between(0, MAX_SEED)) }
    const started: Array<Promise<void>> = []
    for (let index = 0; !context.signal.aborted; index++) {
      if (context.switches[name]) started.push(run(callerContext, `${name}-${context.seed}-${index}`))
      await sleep(context.clock, context.switches[name] ? everyMs : SWITCH_POLL_MS, context.signal)
    }
    await Promise.all(started)
  })
}

/** Polling interval of a switch that is off. */
const SWITCH_POLL_MS = 100
