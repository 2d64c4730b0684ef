/** Misbehaving callers that faults turn on: slow, late, disconnecting and flooding ones, and those whose requests crash engines. */
import { sleep } from 'anvilarch-utils'
import type { CallerSwitch } from '../faults/types'
import { callModel, randomPrompt } from './modelCalls'
import { callOrder, sendLateOrders } from './plainCalls'
import { slowStream } from './slowStream'
import { FLOODER_KEY } from './soakDocument'
import { CRASH_MARKER, type LoadContext } from './types'

const MAX_CRASH_RESENDS = 4
const CRASH_RESEND_MS = 400
const MIN_DISCONNECT_MS = 5
const MAX_DISCONNECT_MS = 400
const DISCONNECT_MAX_TOKENS = 60

/** Interval and action of each switch while it is on. */
export const MISBEHAVING_CALLERS = {
  crashingCalls: { everyMs: 4000, run: sendCrashing },
  goneCallers: { everyMs: 150, run: disconnectEarly },
  lateBodies: { everyMs: 300, run: sendLateOrders },
  slowCallers: { everyMs: 500, run: slowStream },
  flood: { everyMs: 8, run: flood }
} satisfies Partial<Record<CallerSwitch, { everyMs: number, run: (context: LoadContext, name: string) => Promise<void> }>>

/** Sends a request that crashes engines, and resends it until it is quarantined or completes, at most `MAX_CRASH_RESENDS` times. */
async function sendCrashing (context: LoadContext, name: string): Promise<void> {
  const { gateways } = context
  const prompt = `${name} ${CRASH_MARKER}`
  let gateway = gateways.pick()
  for (let sends = 0; sends <= MAX_CRASH_RESENDS; sends++) {
    const { code, told } = await callModel(context, { requestId: `${name}.${sends}`, kind: 'crashing', prompt, maxTokens: 10, gateway, key: name })
    if (code === 'quarantined' || told === 'whole') return
    await sleep(context.clock, CRASH_RESEND_MS)
    gateway = gateways.pickOther(gateway.name)
  }
}

async function disconnectEarly (context: LoadContext, name: string): Promise<void> {
  const { clock, gateways, random } = context
  const disconnecting = new AbortController()
  clock.after(random.between(MIN_DISCONNECT_MS, MAX_DISCONNECT_MS), () => { disconnecting.abort() })
  const { signal } = disconnecting
  const kind = random.pick(['stream', 'chat', 'order'] as const)
  if (kind === 'order') await callOrder(context, name, signal)
  else await callModel(context, { requestId: name, kind, prompt: randomPrompt(context, name), maxTokens: DISCONNECT_MAX_TOKENS, gateway: gateways.pick(), signal })
}

async function flood (context: LoadContext, name: string): Promise<void> {
  const headers = { authorization: `Bearer ${FLOODER_KEY}` }
  await callModel(context, { requestId: name, kind: 'chat', prompt: randomPrompt(context, name), maxTokens: 4, gateway: context.gateways.pick(), headers })
}
