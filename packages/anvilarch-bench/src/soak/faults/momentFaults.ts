/** Faults injected right after a gateway has accepted a job or a configuration document. */
import { sleep } from 'anvilarch-utils'
import { killAndStartLater } from './processFaults'
import { claim, claimTarget, release } from './targets'
import type { FaultContext, FaultKind, Injected, Promised } from './types'

/** Longest wait until a gateway accepts something of the load. */
const WAIT_MS = 20_000
const OUTAGE_FROM_MS = 5000
const OUTAGE_UNTIL_MS = 10_000

/** Kills a gateway right after its response that accepts a job. */
export const KILL_ACCEPTOR: FaultKind = {
  inject: async context => {
    const gateway = await nextPromise(context, 'job')
    return gateway !== undefined && claim(context, gateway) ? await killAndStartLater(context, gateway) : undefined
  }
}

/**
 * Starts a table outage right after a document was accepted, and restarts the gateway that accepted it and an agent
 * meanwhile, so that they can receive the version only from other daemons.
 */
export const OUTAGE_AFTER_APPLY: FaultKind = {
  inject: async (context): Promise<Injected | undefined> => {
    if (!claim(context, TABLE)) return undefined
    const gateway = await nextPromise(context, 'document')
    if (gateway === undefined || !claim(context, gateway)) {
      release(context, TABLE)
      return undefined
    }
    await context.fleet.setFaults(TABLE, { outage: true })
    const agent = claimTarget(context, ['agent'])
    const restarts = await Promise.all([gateway, agent].flatMap(name => name === undefined ? [] : [killAndStartLater(context, name)]))
    await Promise.all(restarts.map(async restart => { await restart.heal() }))
    return {
      target: `table, ${gateway}, ${agent ?? 'no agent'}`,
      holdMs: context.random.between(OUTAGE_FROM_MS, OUTAGE_UNTIL_MS),
      heal: async () => {
        await context.fleet.setFaults(TABLE, { outage: false })
        release(context, TABLE)
      }
    }
  }
}

const TABLE = 'table'

/** @returns the gateway that accepts the next job or document, or undefined if none does in time */
async function nextPromise (context: FaultContext, kind: Promised['kind']): Promise<string | undefined> {
  const bound = new AbortController()
  const promised = new Promise<string>(resolve => {
    context.load.onPromise = promise => {
      if (promise.kind === kind) resolve(promise.gateway)
    }
  })
  const gateway = await Promise.race([promised, sleep(context.clock, WAIT_MS, bound.signal).then(() => undefined)])
  context.load.onPromise = undefined
  bound.abort()
  return gateway
}
