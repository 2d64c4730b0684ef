/** Faults injected right after a gateway has accepted a job or a configuration document. */
import { sleep } from 'anvilarch-utils'
import { killAndRestartLater } from './processFaults'
import { claim, claimTarget, release } from './targets'
import type { FaultContext, FaultKind, InjectedFault, Acceptance } from './types'

/** Longest wait until a gateway accepts something of the load. */
const ACCEPTANCE_TIMEOUT_MS = 20_000
const MIN_OUTAGE_MS = 5000
const MAX_OUTAGE_MS = 10_000

/** Kills a gateway right after its response that accepts a job. */
export const KILL_ACCEPTOR: FaultKind = {
  inject: async context => {
    const gateway = await nextAcceptance(context, 'job')
    return gateway !== undefined && claim(context, gateway) ? await killAndRestartLater(context, gateway) : undefined
  }
}

/**
 * Starts a table outage right after a document was accepted, and restarts the gateway that accepted it and an agent
 * meanwhile, so that they can receive the version only from other daemons.
 */
export const OUTAGE_AFTER_APPLY: FaultKind = {
  inject: async (context): Promise<InjectedFault | undefined> => {
    if (!claim(context, TABLE)) return undefined
    const gateway = await nextAcceptance(context, 'document')
    if (gateway === undefined || !claim(context, gateway)) {
      release(context, TABLE)
      return undefined
    }
    await context.fleet.setFaults(TABLE, { outage: true })
    const agent = claimTarget(context, ['agent'])
    const restarts = await Promise.all([gateway, agent].flatMap(name => name === undefined ? [] : [killAndRestartLater(context, name)]))
    await Promise.all(restarts.map(async restart => { await restart.heal() }))
    return {
      target: `table, ${gateway}, ${agent ?? 'no agent'}`,
      durationMs: context.random.between(MIN_OUTAGE_MS, MAX_OUTAGE_MS),
      heal: async () => {
        await context.fleet.setFaults(TABLE, { outage: false })
        release(context, TABLE)
      }
    }
  }
}

const TABLE = 'table'

/** @returns the gateway that accepts the next job or document, or undefined if none does in time */
async function nextAcceptance (context: FaultContext, kind: Acceptance['kind']): Promise<string | undefined> {
  const timeout = new AbortController()
  const accepted = new Promise<string>(resolve => {
    context.load.onAccepted = acceptance => {
      if (acceptance.kind === kind) resolve(acceptance.gateway)
    }
  })
  const gateway = await Promise.race([accepted, sleep(context.clock, ACCEPTANCE_TIMEOUT_MS, timeout.signal).then(() => undefined)])
  context.load.onAccepted = undefined
  timeout.abort()
  return gateway
}
