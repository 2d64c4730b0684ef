/** Misbehaving callers that faults turn on: slow, disconnecting and flooding ones, and those whose requests crash engines. */
import { sleep } from 'anvilarch-utils'
import type { SwitchName } from '../faults/types'
import { callModel, drawPrompt } from './modelCalls'
import { callOrder } from './plainCalls'
import { slowStream } from './slowStream'
import { FLOODER_KEY } from './soakDocument'
import { CRASH_MARKER, type LoadContext } from './types'

const CRASH_RESENDS = 4
const CRASH_RESEND_MS = 400
const GONE_FROM_MS = 5
const GONE_UNTIL_MS = 400
const GONE_TOKENS = 60

/** Interval and action of each switch while it is on. */
export const ODD_CALLERS = {
  crashingCalls: { everyMs: 4000, run: sendCrashing },
  goneCallers: { everyMs: 150, run: goAway },
  slowCallers: { everyMs: 500, run: slowStream },
  flood: { everyMs: 8, run: flood }
} satisfies Partial<Record<SwitchName, { everyMs: number, run: (context: LoadContext, name: string) => Promise<void> }>>

/** Sends a request that crashes engines, and resends it until it is quarantined or completes, at most `CRASH_RESENDS` times. */
async function sendCrashing (context: LoadContext, name: string): Promise<void> {
  const { gateways } = context
  const prompt = `${name} ${CRASH_MARKER}`
  let gateway = gateways.pick()
  for (let sends = 0; sends <= CRASH_RESENDS; sends++) {
    const { code, told } = await callModel(context, { requestId: `${name}.${sends}`, kind: 'crashing', prompt, maxTokens: 10, gateway, key: name })
    if (code === 'quarantined' || told === 'whole') return
    await sleep(context.clock, CRASH_RESEND_MS)
    gateway = gateways.pickOther(gateway.name)
  }
}

async function goAway (context: LoadContext, name: string): Promise<void> {
  const { clock, gateways, random } = context
  const leaving = new AbortController()
  clock.after(random.between(GONE_FROM_MS, GONE_UNTIL_MS), () => { leaving.abort() })
  const { signal } = leaving
  const kind = random.pick(['stream', 'chat', 'order'] as const)
  if (kind === 'order') await callOrder(context, name, signal)
  else await callModel(context, { requestId: name, kind, prompt: drawPrompt(context, name), maxTokens: GONE_TOKENS, gateway: gateways.pick(), signal })
}

async function flood (context: LoadContext, name: string): Promise<void> {
  const headers = { authorization: `Bearer ${FLOODER_KEY}` }
  await callModel(context, { requestId: name, kind: 'chat', prompt: drawPrompt(context, name), maxTokens: 4, gateway: context.gateways.pick(), headers })
}
