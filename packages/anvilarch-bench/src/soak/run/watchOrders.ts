/** Polls the engines for the orders that they accepted, since the list is lost when an engine exits, and records their processes. */
import { type EngineLedger, type Fleet, type FleetProcess } from 'anvilarch-standins'
import { type Clock, sleep } from 'anvilarch-utils'
import { Agent } from 'undici'
import type { Evidence } from '../types'

/** A running watch. */
export interface OrderWatch {
  /** Polls all engines once more. */
  readNow: () => Promise<void>
  stop: () => void
}

const POLL_INTERVAL_MS = 500
const READ_TIMEOUT_MS = 1500
/** Selects the executions of no request, so that the response contains only the orders. */
const ORDERS_PATH = '/ledger?request=none'

/**
 * @param fleet - runs the engines
 * @param clock - paces the polls
 * @param evidence - to record in
 * @returns the watch, which runs until it is stopped
 */
export function watchOrders (fleet: Fleet, clock: Clock, evidence: Evidence): OrderWatch {
  const stopping = new AbortController()
  const dispatcher = new Agent({ pipelining: 0 })

  const read = async (engine: FleetProcess): Promise<void> => {
    const { processId, spec } = engine
    if (processId === undefined) return
    const orders = await readOrders(spec.addresses.http, dispatcher)
    if (orders === undefined || engine.processId !== processId) return
    recordProcess(spec.name, processId)
    evidence.orders = evidence.orders.filter(order => order.endpoint !== spec.name || order.processId !== processId)
    for (const { action, accepted, atMs, fencingToken } of orders) {
      if (accepted) evidence.orders.push({ endpoint: spec.name, processId, atMs, action, fencingToken })
    }
  }
  const recordProcess = (endpoint: string, processId: number): void => {
    const nowMs = clock.wallMs()
    const known = evidence.engineProcesses.find(found => found.endpoint === endpoint && found.processId === processId)
    if (known === undefined) evidence.engineProcesses.push({ endpoint, processId, firstSeenMs: nowMs, lastSeenMs: nowMs })
    else known.lastSeenMs = nowMs
  }
  const watch = async (engine: FleetProcess): Promise<void> => {
    while (!stopping.signal.aborted) {
      await read(engine)
      await sleep(clock, POLL_INTERVAL_MS, stopping.signal)
    }
  }
  const engines = fleet.processes('engine')
  for (const engine of engines) watch(engine).catch(() => {})
  return {
    readNow: async () => { await Promise.all(engines.map(read)) },
    stop: () => { stopping.abort() }
  }
}

async function readOrders (url: string, dispatcher: Agent): Promise<EngineLedger['orders'] | undefined> {
  try {
    const response = await dispatcher.request({ origin: url, path: ORDERS_PATH, method: 'GET', signal: AbortSignal.timeout(READ_TIMEOUT_MS) })
    return (await response.body.json() as EngineLedger).orders
  } catch {
    return undefined
  }
}
